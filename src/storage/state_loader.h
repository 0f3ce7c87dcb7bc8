// Reads and checks all that a replica's store holds.
#pragma once

#include <leveldb/db.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/types.h"
#include "storage/values.h"

namespace dewweir::storage {

enum class NoStateReason {
    empty,    // nothing stored: a new disk, a discarded store, or a first write that was never whole
    corrupt,  // altered, torn or missing: what was acknowledged may be gone
    incompatible_version,  // written in another format
    io_error,              // the disk refused; nothing is known of what is stored
};

// Why a store has no state to start from.
struct NoState {
    NoStateReason reason = NoStateReason::empty;
    std::string where;  // a key or file; for an unreadable block, the last key read before it
    std::string what;
};

struct LoadedState {
    consensus::PersistentState state;
    std::uint64_t last_write = 0;  // number of the last write; 0 before the first
    std::optional<SnapshotHeader> snapshot;
    std::vector<std::string> orphaned_chunks;  // keys of snapshots that were never finished
};

using LoadResult = std::variant<LoadedState, NoState>;

// `LoadedState` also for an empty store, with a `self` of id 0.
LoadResult load_state(leveldb::DB& database);

// What a failure told by LevelDB means.
NoState no_state_of(const leveldb::Status& status, std::string where);

}  // namespace dewweir::storage
