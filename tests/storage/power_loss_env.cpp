#include "storage/power_loss_env.h"

#include <algorithm>
#include <chrono>
#include <cstring>

namespace dewweir::storage::tests {

namespace {

using leveldb::Slice;
using leveldb::Status;

constexpr std::size_t write_buffer_bytes = 65536;  // as in LevelDB's POSIX environment

// Limits how long background work is held: a failing open waits for that work before it returns.
constexpr std::chrono::seconds max_background_hold{5};

bool is_log(const std::string& name) { return name.ends_with(".log"); }
bool is_manifest(const std::string& name) { return name.find("/MANIFEST") != std::string::npos; }

// Reads a copy made when the file was opened: LevelDB never reads a file that it is still writing.
class Reader : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
  public:
    explicit Reader(std::string content) : content_(std::move(content)) {}

    Status Read(std::size_t count, Slice* result, char* scratch) override {
        Status status = Read(position_, count, result, scratch);
        position_ += result->size();
        return status;
    }

    Status Skip(std::uint64_t count) override {
        position_ = std::min(content_.size(), position_ + static_cast<std::size_t>(count));
        return Status::OK();
    }

    Status Read(std::uint64_t offset, std::size_t count, Slice* result, char* scratch) const override {
        const std::size_t start = std::min(content_.size(), static_cast<std::size_t>(offset));
        const std::size_t length = std::min(count, content_.size() - start);
        std::memcpy(scratch, content_.data() + start, length);
        *result = Slice(scratch, length);
        return Status::OK();
    }

  private:
    std::string content_;
    std::size_t position_ = 0;
};

class Writer : public leveldb::WritableFile {
  public:
    Writer(PowerLossEnv& env, std::string name, int file) : env_(env), name_(std::move(name)), file_(file) {}

    Status Append(const Slice& data) override {
        if (is_log(name_)) env_.AwaitBackground();
        buffer_.append(data.data(), data.size());
        return buffer_.size() < write_buffer_bytes ? Status::OK() : Flush();
    }

    Status Flush() override {
        if (buffer_.empty()) return Status::OK();
        Status status = env_.AppendTo(file_, buffer_);
        buffer_.clear();
        return status;
    }

    Status Sync() override {
        if (is_manifest(name_)) {
            Status synced = env_.SyncNames();
            if (!synced.ok()) return synced;
        }
        const Status flushed = Flush();
        return flushed.ok() ? env_.SyncFile(file_, name_) : flushed;
    }

    Status Close() override { return Flush(); }

  private:
    PowerLossEnv& env_;
    std::string name_;
    int file_;
    std::string buffer_;
};

class Lock : public leveldb::FileLock {};

struct BackgroundWork {
    std::function<void()> run;
};

void run_and_delete(void* work) {
    const std::unique_ptr<BackgroundWork> owned(static_cast<BackgroundWork*>(work));
    owned->run();
}

}  // namespace

ReplicaStoreOptions PowerLossEnv::store_options() {
    ReplicaStoreOptions options;
    options.env = this;
    options.sync_folder = [this](const std::string&) { return SyncNames(); };
    return options;
}

MemoryDisk PowerLossEnv::disk() const {
    const std::lock_guard lock(mutex_);
    return disk_;
}

void PowerLossEnv::refuse_writes(bool refuse) {
    const std::lock_guard lock(mutex_);
    refusing_ = refuse;
}

void PowerLossEnv::hang_syncs() {
    const std::lock_guard lock(mutex_);
    hanging_ = true;
}

void PowerLossEnv::release_syncs() {
    const std::lock_guard lock(mutex_);
    hanging_ = false;
    changed_.notify_all();
}

void PowerLossEnv::await_hanging_sync() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return waiting_syncs_ > 0; });
}

int PowerLossEnv::syncs() const {
    const std::lock_guard lock(mutex_);
    return syncs_;
}

void PowerLossEnv::hold_background(bool hold) {
    const std::lock_guard lock(mutex_);
    background_held_ = hold;
    changed_.notify_all();
}

OpenResult PowerLossEnv::open(ReplicaStore& store, const std::string& folder) {
    hold_background(true);
    OpenResult result = store.open(folder);
    hold_background(false);
    AwaitBackground();
    return result;
}

Status PowerLossEnv::operate(const std::function<void(MemoryDisk&)>& change) {
    const std::lock_guard lock(mutex_);
    if (refusing_) return Status::IOError("refused");
    change(disk_);
    if (watcher_) watcher_(disk_);
    return Status::OK();
}

Status PowerLossEnv::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
    const std::lock_guard lock(mutex_);
    *file = nullptr;
    const auto found = disk_.file_of(name);
    if (!found) return Status::NotFound(name);
    *file = new Reader(disk_.content(*found));
    return Status::OK();
}

Status PowerLossEnv::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
    const std::lock_guard lock(mutex_);
    *file = nullptr;
    const auto found = disk_.file_of(name);
    if (!found) return Status::NotFound(name);
    *file = new Reader(disk_.content(*found));
    return Status::OK();
}

Status PowerLossEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
    *file = nullptr;
    int created = 0;
    Status status = operate([&](MemoryDisk& disk) { created = disk.create(name); });
    if (status.ok()) *file = new Writer(*this, name, created);
    return status;
}

Status PowerLossEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile**) {
    return Status::NotSupported(name);
}

bool PowerLossEnv::FileExists(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return disk_.exists(name);
}

Status PowerLossEnv::GetChildren(const std::string& folder, std::vector<std::string>* names) {
    const std::lock_guard lock(mutex_);
    *names = disk_.list(folder);
    return Status::OK();
}

Status PowerLossEnv::RemoveFile(const std::string& name) {
    bool removed = false;
    Status status = operate([&](MemoryDisk& disk) { removed = disk.remove(name); });
    return status.ok() && !removed ? Status::NotFound(name) : status;
}

// Folders always exist in this model.
Status PowerLossEnv::CreateDir(const std::string&) { return Status::OK(); }
Status PowerLossEnv::RemoveDir(const std::string&) { return Status::OK(); }

Status PowerLossEnv::GetFileSize(const std::string& name, std::uint64_t* bytes) {
    const std::lock_guard lock(mutex_);
    const auto found = disk_.file_of(name);
    if (!found) return Status::NotFound(name);
    *bytes = disk_.size(*found);
    return Status::OK();
}

Status PowerLossEnv::RenameFile(const std::string& from, const std::string& to) {
    bool renamed = false;
    Status status = operate([&](MemoryDisk& disk) { renamed = disk.rename(from, to); });
    return status.ok() && !renamed ? Status::NotFound(from) : status;
}

Status PowerLossEnv::LockFile(const std::string&, leveldb::FileLock** lock) {
    *lock = new Lock;
    return Status::OK();
}

Status PowerLossEnv::UnlockFile(leveldb::FileLock* lock) {
    delete lock;
    return Status::OK();
}

void PowerLossEnv::Schedule(void (*function)(void*), void* argument) {
    {
        const std::lock_guard lock(mutex_);
        ++background_;
    }
    const auto run = [this, function, argument] {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, max_background_hold, [this] { return !background_held_; });
        lock.unlock();
        function(argument);
        lock.lock();
        --background_;
        changed_.notify_all();
    };
    target()->Schedule(run_and_delete, new BackgroundWork{run});
}

void PowerLossEnv::AwaitBackground() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return background_ == 0; });
}

Status PowerLossEnv::SyncNames() {
    return operate([](MemoryDisk& disk) { disk.sync_names(); });
}

Status PowerLossEnv::AppendTo(int file, const std::string& bytes) {
    return operate([&](MemoryDisk& disk) { disk.append(file, bytes); });
}

Status PowerLossEnv::SyncFile(int file, const std::string& name) {
    if (is_log(name)) {
        std::unique_lock lock(mutex_);
        ++waiting_syncs_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return !hanging_; });
        --waiting_syncs_;
        ++syncs_;
    }
    return operate([&](MemoryDisk& disk) { disk.sync(file); });
}

}  // namespace dewweir::storage::tests
