// Repairs LevelDB's manifest after a power loss: removes an incomplete, unsynced version edit at its end.
//
// LevelDB reads its manifest strictly: if the last record is only partly written but has its full length,
// LevelDB refuses to open the database, although the edit was never acknowledged and all earlier files are
// intact. If all machines lose power at once, such a refusal on a majority of them would lose acknowledged
// writes.
//
// A record is removed only if no valid record follows it and the log named by the edit before it still
// exists: LevelDB removes that log once a later edit is synced. In all other cases the manifest is left
// unchanged, and LevelDB decides whether to open it.
//
// Source of the formats: LevelDB's doc/log_format.md, and version_edit.cc for the fields of a version edit.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace dewweir::storage {

// Does nothing if the manifest is intact or cannot be read with certainty. Returns an error if the disk
// fails; the manifest is then unchanged. `env` has to sync the folder after a rename (durable_env.h).
leveldb::Status repair_manifest_tail(leveldb::Env& env, const std::string& folder);

}  // namespace dewweir::storage
