// What one synced write changes of a replica's state.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "consensus/types.h"

namespace dewweir::storage {

// All of it or nothing is on the disk afterwards. Its parts apply in the order in which they stand here.
struct WriteBatch {
    std::optional<consensus::Replica> self;
    std::optional<consensus::HardState> hard_state;
    // Entries from this index on are deleted.
    std::optional<consensus::Index> truncate_from;
    // Replaces the one before; entries up to its index are deleted, later ones stay (where they are of
    // another history, truncate them in the same batch).
    std::optional<consensus::Snapshot> snapshot;
    // Without gaps, the first following the last one stored. Those up to the snapshot's index are left out.
    std::vector<consensus::Entry> append;
};

// About the bytes that the batch writes.
std::size_t approximate_size(const WriteBatch& batch);

// Makes `first` have the effect of itself and then `second`.
void merge_into(WriteBatch& first, WriteBatch second);

}  // namespace dewweir::storage
