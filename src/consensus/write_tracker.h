// Tracks which part of a replica's state is on disk, and holds back the messages that must not be sent before
// a write is synced.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/messages.h"

namespace dewweir::consensus {

// Number of a batch of writes, counted from 1; batches are synced in this order.
using WriteSequence = std::uint64_t;

class WriteTracker {
  public:
    // `stable_index` is the last index of the log that is on disk at the start.
    explicit WriteTracker(Index stable_index) : stable_index_(stable_index) {}

    // Entries from `from` on were added or replaced since the last batch.
    void entries_changed(Index from);
    // The complete log was replaced by a snapshot; entries now start at `from`.
    void log_replaced(Index from);
    void hard_state_changed() { hard_state_pending_ = true; }
    void snapshot_changed() { snapshot_pending_ = true; }

    // Whether there are changes that are in no batch yet.
    bool pending() const { return hard_state_pending_ || snapshot_pending_ || entries_from_.has_value(); }
    bool hard_state_pending() const { return hard_state_pending_; }
    bool snapshot_pending() const { return snapshot_pending_; }
    // Index of the first entry that the next batch must write.
    std::optional<Index> entries_from() const { return entries_from_; }

    // Moves all pending changes into one batch, after which the log on disk ends at `last_index`.
    WriteSequence begin_batch(Index last_index);
    // All batches up to `sequence` are synced.
    void persisted(WriteSequence sequence);

    // The log up to this index is on disk as it is in memory.
    Index stable_index() const { return stable_index_; }
    // Whether all changes so far are on disk.
    bool all_stable() const { return !pending() && in_flight_.empty(); }
    // The batch whose sync puts all changes so far on disk.
    WriteSequence covering_sequence() const { return pending() ? last_sequence_ + 1 : last_sequence_; }
    bool is_persisted(WriteSequence sequence) const { return sequence <= persisted_sequence_; }

    // Holds the message until all changes so far are on disk.
    void hold(Envelope envelope);
    // Removes and returns the messages that need not be held any longer.
    std::vector<Envelope> release();
    void drop_held() { held_.clear(); }

  private:
    struct Batch {
        WriteSequence sequence = 0;
        Index last_index = 0;  // the log on disk matches memory up to here once the batch is synced
    };
    struct Held {
        WriteSequence sequence = 0;  // the batch that must be synced first
        Envelope envelope;
    };

    bool hard_state_pending_ = false;
    bool snapshot_pending_ = false;
    std::optional<Index> entries_from_;
    WriteSequence last_sequence_ = 0;
    WriteSequence persisted_sequence_ = 0;
    Index stable_index_;
    std::deque<Batch> in_flight_;  // batches begun and not yet synced, in order
    std::vector<Held> held_;
};

}  // namespace dewweir::consensus
