// A replica's life, drawn from a seed and played on a disk of which an image is kept after each operation.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "storage/power_loss_env.h"
#include "storage/write_batch.h"

namespace dewweir::storage::tests {

inline constexpr const char* folder = "/disk";

consensus::Entry command(consensus::Index index, consensus::Term term, std::string payload);
// Of the form that a first write has to have.
WriteBatch first_batch();
// `length` bytes, other for each seed.
std::string noise(std::uint64_t seed, std::size_t length);

// What the store has to hold after `batch`: a plain second account of the same rules.
void apply(consensus::PersistentState& state, const WriteBatch& batch);

bool same(const consensus::PersistentState& left, const consensus::PersistentState& right);

struct Image {
    MemoryDisk disk;
    std::size_t acknowledged = 0;  // writes that had returned
};

struct History {
    std::vector<consensus::PersistentState> states;  // after each count of writes, from 0
    std::vector<Image> images;                       // after each operation on the disk
};

// Writes of all kinds, closings and losses of power. Without `sync_renames` the folder is synced by LevelDB
// alone.
History play_history(std::uint64_t seed, bool sync_renames = true);

// The options of a store on `env`.
ReplicaStoreOptions options_on(PowerLossEnv& env, bool sync_renames = true);

}  // namespace dewweir::storage::tests
