#include "control_plane/replica_disk.h"

#include "logging/log.h"

namespace dewweir::control_plane {
namespace {

using logging::Event;
using logging::Level;

constexpr runtime::Time reopen_interval = 500 * runtime::tenths_per_millisecond;

}  // namespace

ReplicaDisk::ReplicaDisk(runtime::EventLoop& loop, DiskObserver& observer, std::string directory)
    : loop_(loop),
      observer_(observer),
      directory_(std::move(directory)),
      mailbox_(loop),
      store_(std::make_shared<storage::ReplicaStore>()),
      writer_(
          store_, [this](std::function<void()> call) { mailbox_.post(std::move(call)); },
          [this](const storage::WriteCompletion& completion) { write_completed(completion); }),
      reopen_timer_(loop) {}

void ReplicaDisk::open() {
    writer_.open(
        directory_, [this](storage::OpenResult result) { store_opened(std::move(result)); },
        loop_.steady_now());
}

void ReplicaDisk::schedule_reopen() {
    reopen_timer_.start(reopen_interval, [this] { open(); });
}

void ReplicaDisk::store_opened(storage::OpenResult result) {
    const bool first = state_ == State::unopened;
    consensus::PersistentState state;
    DiskContent content = DiskContent::replica;
    if (auto* const stored = std::get_if<consensus::PersistentState>(&result)) {
        state = std::move(*stored);
    } else {
        const auto& none = std::get<storage::NoState>(result);
        // The content is unknown after an I/O error: reopening is retried without limit, never discarded.
        if (none.reason == storage::NoStateReason::io_error) {
            if (first)
                logging::log(Level::error, Event::storage_failed, {{"what", std::string_view(none.what)}});
            return schedule_reopen();
        }
        const bool is_empty = none.reason == storage::NoStateReason::empty;
        if (!is_empty && !discard(none)) return schedule_reopen();
        content = found_damaged_store_ ? DiskContent::discarded : DiskContent::empty;
    }
    state_ = State::writable;
    if (first) return observer_.disk_opened(content, std::move(state));
    logging::log(Level::info, Event::storage_recovered, {});
    observer_.disk_recovered();
}

bool ReplicaDisk::discard(const storage::NoState& reason) {
    found_damaged_store_ = true;
    logging::log(Level::error, Event::storage_failed,
                 {{"where", std::string_view(reason.where)}, {"what", std::string_view(reason.what)}});
    return store_->discard_all().reason == storage::NoStateReason::empty;
}

void ReplicaDisk::write(const consensus::Write& write, const std::optional<consensus::Replica>& self) {
    if (state_ != State::writable) return;
    storage::WriteBatch batch;
    batch.self = self;
    batch.hard_state = write.hard_state;
    if (write.snapshot) batch.snapshot = *write.snapshot;
    if (write.entries) {
        batch.truncate_from = write.entries->from;
        batch.append = write.entries->entries;
    }
    writer_.submit(std::move(batch), write.sequence, loop_.steady_now());
}

// Batches queued behind a failed one fail as well; only the first failure is handled.
void ReplicaDisk::write_completed(const storage::WriteCompletion& completion) {
    if (state_ != State::writable) return;
    if (completion.result) return write_failed(completion.result->what);
    observer_.disk_written(completion.token);
}

void ReplicaDisk::write_failed(const std::string& what) {
    state_ = State::failed;
    logging::log(Level::error, Event::storage_failed, {{"what", std::string_view(what)}});
    observer_.disk_failed();
    schedule_reopen();
}

std::chrono::milliseconds ReplicaDisk::oldest_wait() const {
    return writer_.oldest_pending_age(loop_.steady_now()).value_or(std::chrono::milliseconds(0));
}

}  // namespace dewweir::control_plane
