// The changes that one synced write makes to a replica's stored state.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "consensus/types.h"

namespace dewweir::storage {

// Applied atomically. The parts apply in the order of the members.
struct WriteBatch {
    std::optional<consensus::Replica> self;
    std::optional<consensus::HardState> hard_state;
    // Entries from this index on are deleted.
    std::optional<consensus::Index> truncate_from;
    // Replaces the previous snapshot. Entries up to its index are deleted, later ones are kept; if those
    // conflict with the snapshot, truncate them in the same batch.
    std::optional<consensus::Snapshot> snapshot;
    // Consecutive entries, the first one following the last stored one. Entries up to the snapshot's index
    // are skipped.
    std::vector<consensus::Entry> append;
};

// Estimate of the bytes that the batch writes.
std::size_t approximate_size(const WriteBatch& batch);

// Changes `first` to have the effect of applying `first` and then `second`.
void merge_into(WriteBatch& first, WriteBatch second);

}  // namespace dewweir::storage
