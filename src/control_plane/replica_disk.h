// The durable storage of the Raft replica. Owns the store and its writer thread, reports completed writes,
// and handles failures: a disk that fails or fills up never ends the process. It is reopened at an interval,
// and once it accepts writes again the owner writes its complete state; until then no write is reported as
// done. A write is reported only after it is synced, and a store is never discarded because of an I/O error.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "consensus/raft.h"
#include "runtime/mailbox.h"
#include "storage/disk_writer.h"

namespace dewweir::control_plane {

// What the first successful open found.
enum class DiskContent : std::uint8_t {
    replica,  // the state of a replica
    empty,    // never used
    // A damaged store, now replaced by an empty one: entries that this replica acknowledged may be lost.
    discarded,
};

class DiskObserver {
  public:
    virtual ~DiskObserver() = default;
    // The disk was opened for the first time. Unless the content is `replica`, `state` is empty and has no
    // replica id.
    virtual void disk_opened(DiskContent content, consensus::PersistentState state) = 0;
    // All writes up to `sequence` are synced.
    virtual void disk_written(consensus::WriteSequence sequence) = 0;
    // A write failed: those after the last one reported may be lost, and further ones are dropped.
    virtual void disk_failed() = 0;
    // The disk accepts writes again; the replica's complete state must be written now.
    virtual void disk_recovered() = 0;
};

class ReplicaDisk {
  public:
    // `directory` holds the store; it is created if missing, its parent must exist.
    ReplicaDisk(runtime::EventLoop& loop, DiskObserver& observer, std::string directory);

    // Opens the store, retrying until that succeeds; the observer's disk_opened follows.
    void open();
    // Queues a write. `self`, if given, is stored as the replica's identity; the first write of an empty
    // store must have it. Dropped unless the disk is writable.
    void write(const consensus::Write& write, const std::optional<consensus::Replica>& self);

    bool has_failed() const { return state_ == State::failed; }
    // How long the oldest pending disk operation has been waiting; 0: none is pending.
    std::chrono::milliseconds oldest_wait() const;

  private:
    enum class State : std::uint8_t {
        unopened,  // never opened successfully: the content is not known
        writable,
        failed,  // a write failed; reopening is retried every reopen_interval
    };

    void store_opened(storage::OpenResult result);
    void write_completed(const storage::WriteCompletion& completion);
    void write_failed(const std::string& what);
    void schedule_reopen();
    // Replaces a damaged store by an empty one. Returns whether that succeeded.
    bool discard(const storage::NoState& reason);

    runtime::EventLoop& loop_;
    DiskObserver& observer_;
    const std::string directory_;
    runtime::Mailbox mailbox_;
    std::shared_ptr<storage::ReplicaStore> store_;
    storage::DiskWriter writer_;
    State state_ = State::unopened;
    bool found_damaged_store_ = false;  // the directory held a damaged store, discarded or about to be
    runtime::Timer reopen_timer_;
};

}  // namespace dewweir::control_plane
