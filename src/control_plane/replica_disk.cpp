#include "control_plane/replica_disk.h"

#include "logging/log.h"

namespace dewweir::control_plane {
namespace {

using logging::Event;
using logging::Level;

constexpr runtime::Time reopen_interval = 500 * runtime::tenths_per_millisecond;

}  // namespace

ReplicaDisk::ReplicaDisk(runtime::EventLoop& loop, DiskUser& user, std::string folder)
    : loop_(loop),
      user_(user),
      folder_(std::move(folder)),
      mailbox_(loop),
      store_(std::make_shared<storage::ReplicaStore>()),
      writer_(
          store_, [this](std::function<void()> call) { mailbox_.post(std::move(call)); },
          [this](const storage::WriteCompletion& completion) { written(completion); }),
      reopening_(loop) {}

void ReplicaDisk::open() {
    writer_.open(
        folder_, [this](storage::OpenResult result) { opened(std::move(result)); }, loop_.steady_now());
}

void ReplicaDisk::open_later() {
    reopening_.start(reopen_interval, [this] { open(); });
}

void ReplicaDisk::opened(storage::OpenResult result) {
    const bool first = state_ == State::unread;
    consensus::PersistentState state;
    DiskContent content = DiskContent::replica;
    if (auto* const stored = std::get_if<consensus::PersistentState>(&result)) {
        state = std::move(*stored);
    } else {
        const auto& none = std::get<storage::NoState>(result);
        // Nothing is known of what it holds: it is asked again, however long that takes.
        if (none.reason == storage::NoStateReason::io_error) {
            if (first)
                logging::log(Level::error, Event::storage_failed, {{"what", std::string_view(none.what)}});
            return open_later();
        }
        const bool is_empty = none.reason == storage::NoStateReason::empty;
        if (!is_empty && !discard(none)) return open_later();
        content = held_another_ ? DiskContent::discarded : DiskContent::empty;
    }
    state_ = State::takes;
    if (first) return user_.disk_opened(content, std::move(state));
    logging::log(Level::info, Event::storage_recovered, {});
    user_.disk_recovered();
}

bool ReplicaDisk::discard(const storage::NoState& reason) {
    held_another_ = true;
    logging::log(Level::error, Event::storage_failed,
                 {{"where", std::string_view(reason.where)}, {"what", std::string_view(reason.what)}});
    return store_->discard_all().reason == storage::NoStateReason::empty;
}

void ReplicaDisk::write(const consensus::Write& write, const std::optional<consensus::Replica>& self) {
    if (state_ != State::takes) return;
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

// Batches that were queued behind one that failed fail too, and are passed over.
void ReplicaDisk::written(const storage::WriteCompletion& completion) {
    if (state_ != State::takes) return;
    if (completion.result) return refused(completion.result->what);
    user_.disk_written(completion.token);
}

void ReplicaDisk::refused(const std::string& what) {
    state_ = State::refuses;
    logging::log(Level::error, Event::storage_failed, {{"what", std::string_view(what)}});
    user_.disk_refused();
    open_later();
}

std::chrono::milliseconds ReplicaDisk::oldest_wait() const {
    return writer_.oldest_pending_age(loop_.steady_now()).value_or(std::chrono::milliseconds(0));
}

}  // namespace dewweir::control_plane
