// The replicated log in memory: a snapshot, the entries after it and the memberships they contain.
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
    // Entries that the snapshot covers are left out; so are entries that cannot follow it (the machine
    // stopped between the writes of a received snapshot and of the removal of the log before it).
    Log(std::optional<Snapshot> snapshot, std::vector<Entry> entries);

    Index snapshot_index() const { return snapshot_->index; }
    Index last_index() const { return snapshot_->index + entries_.size(); }
    Term last_term() const;
    // The term of the entry at `index`; none if it is not known here (compacted, or past the end).
    std::optional<Term> term_at(Index index) const;
    bool matches(Index index, Term term) const { return term_at(index) == term; }
    const Entry& at(Index index) const;  // snapshot_index() < index <= last_index()

    // Entries from `first` on, up to `max_bytes` of payload, at least one if there is one.
    std::vector<Entry> slice(Index first, std::size_t max_bytes) const;
    // Entries first..last.
    std::vector<Entry> range(Index first, Index last) const;

    void append(Entry entry);
    void truncate_from(Index index);

    // Makes the state after `index` (an entry of this log) the start of the log.
    void compact(Index index, std::string data);
    // Starts from a received snapshot. Keeps what follows it if this log has its last entry: returns whether
    // it did.
    bool restore(std::shared_ptr<const Snapshot> snapshot);
    std::shared_ptr<const Snapshot> snapshot() const { return snapshot_; }

    const Membership& membership() const { return memberships_.back().membership; }
    // Of the entry that brought the latest membership, or of the snapshot.
    Index membership_index() const { return memberships_.back().index; }
    const Membership& membership_at(Index index) const;

  private:
    struct MembershipAt {
        Index index = 0;
        Membership membership;
    };

    void note_membership(const Entry& entry);
    void drop_through(Index index);

    std::shared_ptr<const Snapshot> snapshot_;  // never null
    std::vector<Entry> entries_;
    std::vector<MembershipAt> memberships_;  // by index; the first is the snapshot's
};

}  // namespace dewweir::consensus
