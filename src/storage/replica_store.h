// The durable state of one replica of the replicated log, stored by LevelDB in one folder. The package
// `storage` must never report a write as done before it is synced, never expose a partial write, and never
// repair or guess lost data: it refuses to open an incomplete store and reports where the problem is, and the
// replica rejoins the group with a new id.
//
// Effects of a power loss, which tests/storage/power_loss_test.cpp verifies for each disk operation:
// - Each LevelDB write is synced, so only the last one, which is not yet acknowledged, can be incomplete.
// LevelDB
//   silently drops an incomplete record at the end of its log, so that write is present completely or not at
//   all. LevelDB drops a corrupt record elsewhere just as silently, with all records after it. Therefore the
//   log is checked before LevelDB reads it, and each write stores a marker with its number and deletes the
//   marker of the previous write: if a write in the middle is lost, so is its deletion, two markers remain,
//   and the store is refused. A corrupt last write cannot be distinguished from an incomplete one.
// - LevelDB renames CURRENT without syncing the folder. With LevelDB's default environment, acknowledged
// writes
//   are lost or the database no longer opens; durable_env.h syncs the folder after each rename.
// - A removed file may reappear; LevelDB removes it again.
// - LevelDB refuses to open a database whose manifest has an incomplete end, although no acknowledged write
// is
//   missing; manifest_tail.h removes that end.
//
// The target file system has no links and its locks have no effect: a folder must be used by only one store
// of one process.
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
    not_open,       // nothing was written: the store is not open
    invalid_batch,  // nothing was written: the caller's error, such as a gap in the log
    needs_reopen,   // nothing was written: an earlier write failed
    io_error,       // the disk failed; whether the batch is stored is known only after the next open
};

struct WriteError {
    WriteFault fault = WriteFault::io_error;
    std::string what;
};

// No error: the batch is synced.
using WriteResult = std::optional<WriteError>;
using OpenResult = std::variant<consensus::PersistentState, NoState>;

struct ReplicaStoreOptions {
    leveldb::Env* env = leveldb::Env::Default();  // not owned
    SyncFolder sync_folder = fsync_folder;
    // Size of LevelDB's in-memory table; at times there are two tables. LevelDB's minimum is 64 KiB.
    std::size_t write_buffer_bytes = 256 * 1024;
};

// All calls block on the disk and must come from one thread at a time, except that approximate_bytes() may be
// called from any thread.
class ReplicaStore {
  public:
    explicit ReplicaStore(ReplicaStoreOptions options = {});
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    // Reads and verifies the complete store. Creates the folder if it is missing; its parent must exist. The
    // store accepts writes if the result is a state or NoStateReason::empty, otherwise it stays closed. Also
    // reopens the store after a failed write.
    OpenResult open(const std::string& folder);

    // The first write to an empty store must contain `self`.
    WriteResult write(const WriteBatch& batch);

    // Deletes everything and starts an empty store in the folder of the last open(). Returns
    // NoStateReason::empty on success.
    NoState discard_all();

    // Total size of the files in the folder; 0 if they cannot be listed.
    std::uint64_t approximate_bytes();

  private:
    // The entries of the log, `first` to `last`; empty if last is first - 1.
    struct Range {
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
    bool failed_ = false;    // a write has failed since the last open
    bool has_self_ = false;  // `self` is stored
    Range range_;            // the stored entries
    std::uint64_t last_write_ = 0;
    std::optional<SnapshotHeader> snapshot_;    // the stored snapshot
    std::vector<std::string> orphaned_chunks_;  // keys that the next write deletes
};

}  // namespace dewweir::storage
