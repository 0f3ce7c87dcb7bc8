// The package `storage` owns the durable state of one replica of the replicated log, in one folder, by
// LevelDB. It must never tell a write done before it is synced, never show a part of one as whole, never mend
// or guess: a store that is not whole is refused, with the place, and the replica rejoins as a new one.
//
// What a loss of power leaves, as tests/storage/power_loss_test.cpp shows by a cut at each operation:
// - Each LevelDB write is synced, so only the last one, not yet acknowledged, can be torn; it is there whole
//   or not at all. LevelDB drops a torn end of its log silently. It drops a record altered anywhere else as
//   silently, with what follows it: therefore the log is checked before LevelDB reads it, and each write
//   leaves a marker with its number and deletes the marker of the write before. If one in the middle is lost,
//   its own deletion is too, two markers remain, and the store is refused. The last write, altered, can't be
//   told from one that was torn.
// - LevelDB renames CURRENT without a sync of the folder. Its own environment alone loses acknowledged writes
//   here, or no longer opens; durable_env.h syncs the folder after each rename.
// - A removed file may come back: LevelDB removes it again.
// - A manifest's torn end makes LevelDB refuse the store, though nothing acknowledged is missing: it is cut,
//   see manifest_tail.h.
//
// The disk has no links and its locks do nothing: one process, one store for a folder.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/types.h"
#include "storage/durable_env.h"
#include "storage/state_loader.h"
#include "storage/write_batch.h"

namespace dewweir::storage {

enum class WriteFault {
    not_open,       // before open, or after one that was refused
    invalid_batch,  // nothing was written: the caller's mistake, such as a gap in the log
    needs_reopen,   // nothing was written: an earlier write failed
    io_error,       // the disk refused; whether the batch is there, only another open tells
};

struct WriteError {
    WriteFault fault = WriteFault::io_error;
    std::string what;
};

using WriteResult = std::optional<WriteError>;  // nothing where the batch is synced
using OpenResult = std::variant<consensus::PersistentState, NoState>;

struct ReplicaStoreOptions {
    leveldb::Env* env = leveldb::Env::Default();  // not owned
    SyncFolder sync_folder = sync_folder_of_system;
    // Of LevelDB's table in memory, of which there are at times two. LevelDB takes 64 KiB or more.
    std::size_t write_buffer_bytes = 256 * 1024;
};

// All calls block on the disk and come from one thread at a time; approximate_bytes alone may come from any.
class ReplicaStore {
  public:
    explicit ReplicaStore(ReplicaStoreOptions options = {});
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    // Reads and checks all. Makes the folder where it is missing; its parent has to be there. The store takes
    // writes after a state or `empty`, else stays closed. Also opens again, after a write that failed.
    OpenResult open(const std::string& folder);

    // The first write of an empty store has to hold `self`.
    WriteResult write(const WriteBatch& batch);

    // Starts an empty store in the folder of the last open; `empty` where that worked.
    NoState discard_all();

    // Of the files in the folder; 0 where they can't be listed.
    std::uint64_t approximate_bytes();

  private:
    struct Range {  // of the log
        consensus::Index first = 1;
        consensus::Index last = 0;
    };

    OpenResult refuse(NoState reason);
    std::optional<NoState> open_database();
    std::optional<NoState> check_files();
    std::optional<NoState> check_log(const std::string& name);
    WriteResult check(const WriteBatch& batch) const;
    WriteResult write_chunks(const consensus::Snapshot& snapshot, std::uint64_t generation);
    WriteResult commit(leveldb::WriteBatch& batch);
    void truncate(consensus::Index from, leveldb::WriteBatch& batch, Range& range) const;
    void replace_snapshot(const consensus::Snapshot& snapshot, std::uint64_t generation,
                          leveldb::WriteBatch& batch, Range& range);
    void append(const std::vector<consensus::Entry>& entries, leveldb::WriteBatch& batch, Range& range) const;
    void delete_orphans(leveldb::WriteBatch& batch);

    ReplicaStoreOptions options_;
    DurableEnv env_;
    std::unique_ptr<leveldb::Logger> log_;
    std::unique_ptr<leveldb::Cache> cache_;
    std::unique_ptr<leveldb::DB> database_;
    std::string folder_;
    bool failed_ = false;    // a write has, since the last open
    bool has_self_ = false;  // stored
    Range range_;            // of the stored log
    std::uint64_t last_write_ = 0;
    std::optional<SnapshotHeader> snapshot_;    // stored
    std::vector<std::string> orphaned_chunks_;  // deleted by the next write
};

}  // namespace dewweir::storage
