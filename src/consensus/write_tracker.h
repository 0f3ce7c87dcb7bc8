// What of a replica's state is on its disk, and which messages wait for it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus/messages.h"

namespace dewweir::consensus {

using WriteSequence = std::uint64_t;  // of a batch of writes, from 1; batches are synced in this order

class WriteTracker {
  public:
    explicit WriteTracker(Index stable_index) : stable_index_(stable_index) {}

    // Entries from `from` on were added or replaced since the last batch.
    void entries_changed(Index from);
    // The whole log was replaced by a snapshot; entries now start at `from`.
    void log_replaced(Index from);
    void hard_state_changed() { hard_state_pending_ = true; }
    void snapshot_changed() { snapshot_pending_ = true; }

    bool pending() const { return hard_state_pending_ || snapshot_pending_ || entries_from_.has_value(); }
    bool hard_state_pending() const { return hard_state_pending_; }
    bool snapshot_pending() const { return snapshot_pending_; }
    std::optional<Index> entries_from() const { return entries_from_; }

    // Everything pending goes out as one batch, after which the log on disk ends at `last_index`.
    WriteSequence begin_batch(Index last_index);
    // All batches up to `sequence` are synced.
    void persisted(WriteSequence sequence);

    // The log up to here is on disk as it is in memory.
    Index stable_index() const { return stable_index_; }
    // Everything up to now is on disk.
    bool all_stable() const { return !pending() && in_flight_.empty(); }
    // The batch after which everything up to now is on disk.
    WriteSequence covering_sequence() const { return pending() ? last_sequence_ + 1 : last_sequence_; }
    bool is_persisted(WriteSequence sequence) const { return sequence <= persisted_sequence_; }

    // The message is released when everything up to now is on disk.
    void hold(Envelope envelope);
    std::vector<Envelope> release();
    void drop_held() { held_.clear(); }

  private:
    struct Batch {
        WriteSequence sequence = 0;
        Index last_index = 0;
    };
    struct Held {
        WriteSequence sequence = 0;
        Envelope envelope;
    };

    bool hard_state_pending_ = false;
    bool snapshot_pending_ = false;
    std::optional<Index> entries_from_;
    WriteSequence last_sequence_ = 0;
    WriteSequence persisted_sequence_ = 0;
    Index stable_index_;
    std::deque<Batch> in_flight_;
    std::vector<Held> held_;
};

}  // namespace dewweir::consensus
