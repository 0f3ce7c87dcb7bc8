// Writes of a replica's store on a thread of their own, since the disk takes milliseconds and at times
// seconds, while the loop has to go on. The thread sleeps until there is work and never wakes by itself.
// Batches that queue while one is being synced become one write.
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

using WriteToken = std::uint64_t;  // the owner's name for a batch

struct WriteCompletion {
    WriteToken token = 0;
    WriteResult result;  // of the write that held this batch; one invalid batch fails all that joined it
};

enum class StopMode {
    flush,    // what is queued is written, within the bound
    abandon,  // what is queued is dropped; the write under way goes on
};

struct StopReport {
    bool stopped = false;               // the thread has ended; else it hangs in the disk
    std::vector<WriteToken> abandoned;  // never begun, and not told to the handler
    std::vector<WriteToken> unknown;    // begun and not ended
};

class DiskWriter {
  public:
    using Moment = std::chrono::steady_clock::time_point;
    // Has the owner's loop run a function; called on the writer's thread.
    using Poster = std::function<void(std::function<void()>)>;
    using CompletionHandler = std::function<void(const WriteCompletion&)>;
    using OpenHandler = std::function<void(OpenResult)>;

    // Handlers run on the owner's loop through `poster`, in the order of the calls, and never after the
    // destructor, which runs on that loop too. While this runs, nobody else uses the store but for
    // approximate_bytes.
    DiskWriter(std::shared_ptr<ReplicaStore> store, Poster poster, CompletionHandler handler);
    // Abandons, waits for destructor_wait, then leaves the thread behind with the store that it holds.
    ~DiskWriter();
    DiskWriter(const DiskWriter&) = delete;
    DiskWriter& operator=(const DiskWriter&) = delete;

    static constexpr std::chrono::milliseconds destructor_wait{100};

    // None of these waits for the disk. After a stop they do nothing.
    void submit(WriteBatch batch, WriteToken token, Moment now);
    // Opens the store, also again after a write that failed: batches submitted before that fail with
    // needs_reopen.
    void open(std::string folder, OpenHandler handler, Moment now);

    // How long the oldest call that the disk has not ended has waited; nothing where there is none.
    std::optional<std::chrono::milliseconds> oldest_pending_since(Moment now) const;

    // Waits for at most `bound`. May be called again where the thread has not ended.
    StopReport stop(StopMode mode, std::chrono::milliseconds bound);

  private:
    struct Shared;

    std::shared_ptr<Shared> shared_;  // outlives this while the thread hangs
    std::thread thread_;
};

}  // namespace dewweir::storage
