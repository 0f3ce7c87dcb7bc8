// Cuts what a loss of power left of an unsynced change at the end of LevelDB's manifest.
//
// LevelDB reads its manifest strictly: a last record that is torn with its length kept makes it refuse the
// database, though the change was never acknowledged and all files from before it are there. Where every
// machine loses power at once, such a refusal on a majority would lose what they had acknowledged.
//
// A record is cut only where nothing whole follows it and the log that the change before it names still
// exists: LevelDB removes that log once a later change is synced. All else stays as it is, for LevelDB to
// refuse.
//
// Source of the formats: LevelDB's doc/log_format.md, and version_edit.cc for the fields of a change.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace dewweir::storage {

// Does nothing where the manifest is whole or can't be told. An error where the disk refuses; the old
// manifest then stands. `env` has to sync the folder after a rename (durable_env.h).
leveldb::Status cut_torn_manifest_tail(leveldb::Env& env, const std::string& folder);

}  // namespace dewweir::storage
