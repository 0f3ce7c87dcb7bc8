// Runs the writes of a replica's store on a thread of its own, because a disk write takes milliseconds and
// sometimes seconds, while the owner's event loop must not block. The thread sleeps while there is no work;
// it does not poll. Batches that queue up while one is being synced are merged into one write.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "storage/replica_store.h"

namespace dewweir::storage {

// Chosen by the owner to identify a batch.
using WriteToken = std::uint64_t;

struct WriteCompletion {
    WriteToken token = 0;
    // Result of the write that contained this batch. One invalid batch fails all batches merged with it.
    WriteResult result;
};

enum class StopMode {
    flush,    // queued batches are written, as far as the time limit allows
    abandon,  // queued batches are dropped; a write in progress continues
};

struct StopReport {
    bool stopped = false;               // the thread has ended; otherwise it is blocked on the disk
    std::vector<WriteToken> abandoned;  // never started; the handler is not called for them
    std::vector<WriteToken> unknown;    // started but not finished: they may or may not be on disk
};

class DiskWriter {
  public:
    using TimePoint = std::chrono::steady_clock::time_point;
    // Schedules a function on the owner's event loop; called on the writer's thread.
    using Poster = std::function<void(std::function<void()>)>;
    using CompletionHandler = std::function<void(const WriteCompletion&)>;
    using OpenHandler = std::function<void(OpenResult)>;

    // Handlers run on the owner's event loop through `poster`, in the order of the calls, and never after the
    // destructor, which must run on that loop as well. While the writer exists, nothing else may use the
    // store, except for approximate_bytes().
    DiskWriter(std::shared_ptr<ReplicaStore> store, Poster poster, CompletionHandler handler);
    // Abandons queued batches and waits up to destructor_wait. A thread that is still blocked on the disk is
    // detached and keeps the store alive.
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    static constexpr std::chrono::milliseconds destructor_wait{100};

    // submit() and open() do not wait for the disk. After stop() they do nothing.
    void submit(WriteBatch batch, WriteToken token, TimePoint now);
    // Opens the store, or opens it again after a failed write; batches submitted between the failure and this
    // call fail with WriteFault::needs_reopen.
    void open(std::string folder, OpenHandler handler, TimePoint now);

    // Time since the oldest unfinished call was submitted; none if all calls have finished.
    std::optional<std::chrono::milliseconds> oldest_pending_age(TimePoint now) const;

    // Waits up to `limit` for the thread to end. May be called again if it has not ended.
    StopReport stop(StopMode mode, std::chrono::milliseconds limit);

  private:
    struct Shared;

    std::shared_ptr<Shared> shared_;  // outlives this object while the thread is blocked
    std::thread thread_;
};

}  // namespace dewweir::storage
