// A LevelDB environment that makes renames durable, so that the database survives a power loss. It must not
// buffer or delay anything.
//
// On the target file system, syncing a file makes its name durable, but a rename or removal is durable only
// once its folder is synced; until then each such change may survive a power loss without the others. LevelDB
// syncs the folder before it syncs a manifest, but not after it has renamed CURRENT. It then removes the old
// manifest and the old log, so that a power loss may restore the old CURRENT, which names either a removed
// manifest (the database does not open) or one whose log is removed (acknowledged writes are silently lost).
// This environment syncs the folder after each rename. Removals need no sync: LevelDB recognizes a file that
// reappears as obsolete.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace dewweir::storage {

// Makes the names in a folder durable.
using SyncFolder = std::function<leveldb::Status(const std::string& folder)>;

// Syncs the folder by fsync().
leveldb::Status fsync_folder(const std::string& folder);

class DurableEnv : public leveldb::EnvWrapper {
  public:
    DurableEnv(leveldb::Env* target, SyncFolder sync_folder);

    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

    // Creates `folder` if it is missing and makes its name durable.
    leveldb::Status ensure_folder(const std::string& folder);
    // Removes all files in `folder`. If the process ends or power is lost midway, finish_discard completes
    // the removal, so that the remaining files are never mistaken for a complete database.
    leveldb::Status discard_files(const std::string& folder);
    // Completes an interrupted discard_files; does nothing if there is none.
    leveldb::Status finish_discard(const std::string& folder);

  private:
    leveldb::Status remove_all_but_marker(const std::string& folder);

    SyncFolder sync_folder_;
};

}  // namespace dewweir::storage
