// A LevelDB environment on a MemoryDisk that behaves like LevelDB's POSIX environment: appends are buffered
// until a flush, and the folder is synced before a manifest is. A watcher is called after each operation that
// changes the disk. LevelDB's background work and writes to its log never overlap, so that every run performs
// the same operations.
#pragma once

#include <leveldb/env.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "storage/memory_disk.h"
#include "storage/replica_store.h"

namespace dewweir::storage::tests {

class PowerLossEnv : public leveldb::EnvWrapper {
  public:
    // Called with the disk after each operation that changes it.
    using Watcher = std::function<void(const MemoryDisk& disk)>;

    explicit PowerLossEnv(MemoryDisk disk = {})
        : EnvWrapper(leveldb::Env::Default()), disk_(std::move(disk)) {}
    ~PowerLossEnv() override { AwaitBackground(); }

    ReplicaStoreOptions store_options();

    MemoryDisk disk() const;
    void watch(Watcher watcher) { watcher_ = std::move(watcher); }
    void refuse_writes(bool refuse);  // operations that change the disk fail with an I/O error
    void hang_syncs();                // syncs of log files block until release_syncs()
    void release_syncs();
    void await_hanging_sync();
    int syncs() const;  // of log files
    // Opens the store. LevelDB's background work starts after the store is read and has ended on return.
    OpenResult open(ReplicaStore& store, const std::string& folder);

    leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
    leveldb::Status NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) override;
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
    bool FileExists(const std::string& name) override;
    leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
    leveldb::Status RemoveFile(const std::string& name) override;
    leveldb::Status CreateDir(const std::string& name) override;
    leveldb::Status RemoveDir(const std::string& name) override;
    leveldb::Status GetFileSize(const std::string& name, std::uint64_t* bytes) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status LockFile(const std::string& name, leveldb::FileLock** lock) override;
    leveldb::Status UnlockFile(leveldb::FileLock* lock) override;
    void Schedule(void (*function)(void*), void* argument) override;

    leveldb::Status SyncNames();
    leveldb::Status AppendTo(int file, const std::string& bytes);
    leveldb::Status SyncFile(int file, const std::string& name);
    void AwaitBackground();  // until no background work is scheduled or running

  private:
    void hold_background(bool hold);
    // Applies `change` and calls the watcher; fails while writes are refused.
    leveldb::Status operate(const std::function<void(MemoryDisk&)>& change);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    MemoryDisk disk_;
    Watcher watcher_;
    bool refusing_ = false;
    bool hanging_ = false;
    bool background_held_ = false;
    int waiting_syncs_ = 0;
    int syncs_ = 0;
    int background_ = 0;  // scheduled or running
};

}  // namespace dewweir::storage::tests
