#include "storage/disk_writer.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <iterator>
#include <mutex>
#include <utility>

namespace dewweir::storage {

namespace {

using TimePoint = DiskWriter::TimePoint;

// Queued batches are merged into one write up to this size, which bounds the memory and the duration of a
// write.
constexpr std::size_t max_merged_bytes = 256 * 1024;

struct WriteJob {
    WriteBatch batch;
    std::vector<WriteToken> tokens;
};

struct OpenJob {
    std::string folder;
    DiskWriter::OpenHandler handler;
};

// One call of the owner, waiting for the thread.
struct Job {
    std::variant<WriteJob, OpenJob> work;
    TimePoint submitted_at;
};

std::vector<WriteToken> tokens_of(const Job& job) {
    const auto* write = std::get_if<WriteJob>(&job.work);
    return write ? write->tokens : std::vector<WriteToken>();
}

}  // namespace

struct DiskWriter::Shared {
    std::shared_ptr<ReplicaStore> store;
    Poster poster;
    CompletionHandler handler;
    std::atomic<bool> handlers_disabled = false;  // set on the owner's loop
    // Held while the poster is called. The poster is not called once handlers are disabled.
    std::mutex post_mutex;

    std::mutex mutex;  // guards all members below
    std::condition_variable work_or_stop;
    std::condition_variable thread_ended;
    std::deque<Job> queue;
    std::optional<TimePoint> running_since;
    std::vector<WriteToken> running_tokens;
    bool stopping = false;
    bool ended = false;

    void post(std::function<void()> function) {
        const std::lock_guard lock(post_mutex);
        if (!handlers_disabled) poster(std::move(function));
    }

    void add(Job job) {
        const std::lock_guard lock(mutex);
        if (stopping) return;
        queue.push_back(std::move(job));
        work_or_stop.notify_one();
    }

    // Requires the mutex and a queue that is not empty.
    Job take() {
        Job job = std::move(queue.front());
        queue.pop_front();
        if (auto* write = std::get_if<WriteJob>(&job.work)) merge_queued(*write);
        return job;
    }

    void merge_queued(WriteJob& job) {
        std::size_t bytes = approximate_size(job.batch);
        while (!queue.empty()) {
            auto* next = std::get_if<WriteJob>(&queue.front().work);
            if (next == nullptr) return;
            bytes += approximate_size(next->batch);
            if (bytes > max_merged_bytes) return;
            merge_into(job.batch, std::move(next->batch));
            job.tokens.insert(job.tokens.end(), next->tokens.begin(), next->tokens.end());
            queue.pop_front();
        }
    }

    std::vector<WriteToken> drop_queue() {
        std::vector<WriteToken> dropped;
        for (const Job& job : queue) {
            const std::vector<WriteToken> tokens = tokens_of(job);
            dropped.insert(dropped.end(), tokens.begin(), tokens.end());
        }
        queue.clear();
        return dropped;
    }
};

namespace {

// The thread's functions use the private type DiskWriter::Shared; as templates they need not name it.
template <typename Shared> void execute(const std::shared_ptr<Shared>& shared, WriteJob& job) {
    WriteResult result = shared->store->write(job.batch);
    shared->post([shared, tokens = std::move(job.tokens), result = std::move(result)] {
        for (const WriteToken token : tokens) {
            if (shared->handlers_disabled) return;
            shared->handler(WriteCompletion{token, result});
        }
    });
}

template <typename Shared> void execute(const std::shared_ptr<Shared>& shared, OpenJob& job) {
    auto result = std::make_shared<OpenResult>(shared->store->open(job.folder));
    shared->post([shared, handler = std::move(job.handler), result] {
        if (!shared->handlers_disabled) handler(std::move(*result));
    });
}

template <typename Shared> void run(const std::shared_ptr<Shared>& shared) {
    std::unique_lock lock(shared->mutex);
    while (true) {
        shared->work_or_stop.wait(lock, [&] { return shared->stopping || !shared->queue.empty(); });
        if (shared->queue.empty()) break;
        Job job = shared->take();
        shared->running_since = job.submitted_at;
        shared->running_tokens = tokens_of(job);
        lock.unlock();
        std::visit([&](auto& work) { execute(shared, work); }, job.work);
        lock.lock();
        shared->running_since.reset();
        shared->running_tokens.clear();
    }
    shared->ended = true;
    shared->thread_ended.notify_all();
}

}  // namespace

DiskWriter::DiskWriter(std::shared_ptr<ReplicaStore> store, Poster poster, CompletionHandler handler)
    : shared_(std::make_shared<Shared>()) {
    shared_->store = std::move(store);
    shared_->poster = std::move(poster);
    shared_->handler = std::move(handler);
    thread_ = std::thread([shared = shared_] { run(shared); });
}

DiskWriter::~DiskWriter() {
    {
        const std::lock_guard lock(shared_->post_mutex);
        shared_->handlers_disabled = true;
    }
    if (!thread_.joinable()) return;
    stop(StopMode::abandon, destructor_wait);
    if (thread_.joinable()) thread_.detach();
}

void DiskWriter::submit(WriteBatch batch, WriteToken token, TimePoint now) {
    shared_->add(Job{WriteJob{std::move(batch), {token}}, now});
}

void DiskWriter::open(std::string folder, OpenHandler handler, TimePoint now) {
    shared_->add(Job{OpenJob{std::move(folder), std::move(handler)}, now});
}

std::optional<std::chrono::milliseconds> DiskWriter::oldest_pending_age(TimePoint now) const {
    const std::lock_guard lock(shared_->mutex);
    std::optional<TimePoint> since = shared_->running_since;
    if (!since && !shared_->queue.empty()) since = shared_->queue.front().submitted_at;
    if (!since) return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *since);
}

StopReport DiskWriter::stop(StopMode mode, std::chrono::milliseconds limit) {
    StopReport report;
    std::unique_lock lock(shared_->mutex);
    shared_->stopping = true;
    if (mode == StopMode::abandon) report.abandoned = shared_->drop_queue();
    shared_->work_or_stop.notify_one();
    report.stopped = shared_->thread_ended.wait_for(lock, limit, [&] { return shared_->ended; });
    if (!report.stopped) {
        const std::vector<WriteToken> late = shared_->drop_queue();
        report.abandoned.insert(report.abandoned.end(), late.begin(), late.end());
        report.unknown = shared_->running_tokens;
    }
    lock.unlock();
    if (report.stopped && thread_.joinable()) thread_.join();
    return report;
}

}  // namespace dewweir::storage
