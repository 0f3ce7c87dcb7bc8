// Reads and verifies the complete contents of a replica's store.
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
    empty,    // nothing is stored: a new disk, a discarded store, or a first write that was interrupted
    corrupt,  // data is altered or missing: acknowledged writes may be lost
    incompatible_version,  // the data is intact but in another format version
    io_error,              // the disk failed; the contents of the store are unknown
};

// Why a store provides no state to start from.
struct NoState {
    NoStateReason reason = NoStateReason::empty;
    std::string where;  // the key or file; for an unreadable block, the last key before it
    std::string what;   // description of the problem, for the log
};

struct LoadedState {
    consensus::PersistentState state;
    std::uint64_t last_write = 0;  // number of the last write, 0 before the first
    std::optional<SnapshotHeader> snapshot;
    std::vector<std::string> orphaned_chunks;  // keys of chunks whose snapshot was never completed
};

using LoadResult = std::variant<LoadedState, NoState>;

// An empty store yields a LoadedState whose `self` has id 0.
LoadResult load_state(leveldb::DB& database);

// Classifies an error reported by LevelDB.
NoState no_state_from(const leveldb::Status& status, std::string where);

}  // namespace dewweir::storage
