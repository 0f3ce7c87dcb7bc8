// LevelDB's environment, made to keep names after a loss of power. It must not buffer or delay anything.
//
// On this disk a file's own sync makes its name last, but a renamed or removed name lasts only once its
// folder has been synced, and until then each such change may last without the others. LevelDB syncs the
// folder before it syncs a manifest, but not after it has renamed CURRENT. Then it removes the old manifest
// and the old log, so a loss of power may leave the old CURRENT, naming a manifest that is gone (the database
// does not open) or one whose log is gone (what was acknowledged is silently missing). Here the folder is
// synced after each rename. Removals need none: a file that comes back is one that LevelDB knows to be
// obsolete.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace dewweir::storage {

// Syncs the names in a folder.
using SyncFolder = std::function<leveldb::Status(const std::string& folder)>;

leveldb::Status sync_folder_of_system(const std::string& folder);

class DurableEnv : public leveldb::EnvWrapper {
  public:
    DurableEnv(leveldb::Env* target, SyncFolder sync_folder);

    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

    // Makes `folder` where it is missing; its own name lasts when this returns.
    leveldb::Status ensure_folder(const std::string& folder);
    // Removes all files in `folder`. Begun, it is finished by finish_discard after any end of the process or
    // loss of power, so that no part of the old files is ever taken for a whole.
    leveldb::Status discard_files(const std::string& folder);
    leveldb::Status finish_discard(const std::string& folder);

  private:
    leveldb::Status remove_all_but_marker(const std::string& folder);

    SyncFolder sync_folder_;
};

}  // namespace dewweir::storage
