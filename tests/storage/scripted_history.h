// Generates a replica's writes from a seed and runs them on a disk, of which an image is kept after each
// operation.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "storage/power_loss_env.h"
#include "storage/write_batch.h"

namespace dewweir::storage::tests {

inline constexpr const char* folder = "/disk";

consensus::Entry command(consensus::Index index, consensus::Term term, std::string payload);
// A valid first batch for an empty store.
WriteBatch first_batch();
// `length` pseudo-random bytes; they depend on the seed.
std::string random_bytes(std::uint64_t seed, std::size_t length);

// Applies `batch` to the state expected of the store; an independent implementation of the same rules.
void apply(consensus::PersistentState& state, const WriteBatch& batch);

bool same(const consensus::PersistentState& left, const consensus::PersistentState& right);

struct Image {
    MemoryDisk disk;
    std::size_t acknowledged = 0;  // number of writes that had returned
};

struct History {
    std::vector<consensus::PersistentState> states;  // states[n] is the state after n writes
    std::vector<Image> images;                       // one after each disk operation
};

// Runs writes of all kinds, restarts and power losses. Without `sync_renames`, only LevelDB itself syncs the
// folder.
History run_history(std::uint64_t seed, bool sync_renames = true);

// The options of a store on `env`.
ReplicaStoreOptions options_on(PowerLossEnv& env, bool sync_renames = true);

}  // namespace dewweir::storage::tests
