// The replicated log in memory: a snapshot, the entries after it and the memberships found in them.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace dewweir::consensus {

class Log {
  public:
    // Skips entries that the snapshot covers and entries that cannot follow it. The latter are on disk if the
    // machine stopped between writing a received snapshot and removing the older log.
    Log(std::optional<Snapshot> snapshot, std::vector<Entry> entries);

    Index snapshot_index() const { return snapshot_->index; }
    // The snapshot's index if no entries follow it.
    Index last_index() const { return snapshot_->index + entries_.size(); }
    Term last_term() const;
    // The term of the entry at `index`; none if the entry is compacted or past the end.
    std::optional<Term> term_at(Index index) const;
    // Whether the entry at `index` is known and has this term.
    bool matches(Index index, Term term) const { return term_at(index) == term; }
    // Requires snapshot_index() < index <= last_index().
    const Entry& at(Index index) const;

    // Entries from `first` on, up to `max_bytes` of payload, but at least one if there is one.
    std::vector<Entry> slice(Index first, std::size_t max_bytes) const;
    // Entries `first` to `last`, both included.
    std::vector<Entry> range(Index first, Index last) const;

    void append(Entry entry);
    // Removes the entries from `index` on.
    void truncate_from(Index index);

    // Replaces the log up to `index`, an entry of this log, by a snapshot with the given data.
    void compact(Index index, std::string data);
    // Restarts the log from a received snapshot. Keeps the entries after it, and returns true, if this log
    // contains the snapshot's last entry.
    bool restore(std::shared_ptr<const Snapshot> snapshot);
    std::shared_ptr<const Snapshot> snapshot() const { return snapshot_; }

    // The latest membership in the log, committed or not.
    const Membership& membership() const { return memberships_.back().membership; }
    // Index of the entry, or of the snapshot, that contains the latest membership.
    Index membership_index() const { return memberships_.back().index; }
    // The membership in force after the entry at `index`.
    const Membership& membership_at(Index index) const;

  private:
    struct MembershipAt {
        Index index = 0;
        Membership membership;
    };

    void record_membership(const Entry& entry);
    void discard_through(Index index);

    std::shared_ptr<const Snapshot> snapshot_;  // never null
    std::vector<Entry> entries_;                // entry snapshot_index() + 1 first
    std::vector<MembershipAt> memberships_;     // ordered by index; the first is the snapshot's
};

}  // namespace dewweir::consensus
