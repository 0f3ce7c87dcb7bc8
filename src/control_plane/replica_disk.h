// The replica's disk as its owner sees it: opened, written to, refusing, and taking bytes again. A disk that
// refuses or fills never ends the process: nothing is reported written until all that the replica has is on
// it. Owns the store and its writer. It must never tell a write done that is not synced, nor throw a store
// away because it could not be read.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "consensus/raft.h"
#include "runtime/mailbox.h"
#include "storage/disk_writer.h"

namespace dewweir::control_plane {

enum class DiskContent : std::uint8_t {
    replica,    // the state of one
    empty,      // never used
    discarded,  // it held a store that was not whole: what was acknowledged here may be gone
};

class DiskUser {
  public:
    virtual ~DiskUser() = default;
    // `state` is that of a replica; of other content it has no identity.
    virtual void disk_opened(DiskContent content, consensus::PersistentState state) = 0;
    virtual void disk_written(consensus::WriteSequence sequence) = 0;
    // Writes since the last one that was reported may be lost; no more are taken.
    virtual void disk_refused() = 0;
    // The disk takes bytes again: the replica's whole state has to be written.
    virtual void disk_recovered() = 0;
};

class ReplicaDisk {
  public:
    ReplicaDisk(runtime::EventLoop& loop, DiskUser& user, std::string folder);

    void open();
    // `self` is stored with it. Dropped while the disk refuses.
    void write(const consensus::Write& write, const std::optional<consensus::Replica>& self);

    bool refuses() const { return state_ == State::refuses; }
    // For how long the oldest write has waited; 0 where none does.
    std::chrono::milliseconds oldest_wait() const;

  private:
    enum class State : std::uint8_t {
        unread,   // not yet opened: what it holds is not known
        takes,    // writes are taken
        refuses,  // a write failed; it is opened again from time to time
    };

    void opened(storage::OpenResult result);
    void written(const storage::WriteCompletion& completion);
    void refused(const std::string& what);
    void open_later();
    // Makes an empty store of one that is not whole. Returns whether the disk let it.
    bool discard(const storage::NoState& reason);

    runtime::EventLoop& loop_;
    DiskUser& user_;
    const std::string folder_;
    runtime::Mailbox mailbox_;
    std::shared_ptr<storage::ReplicaStore> store_;
    storage::DiskWriter writer_;
    State state_ = State::unread;
    bool held_another_ = false;  // a store that was not whole, discarded or about to be
    runtime::Timer reopening_;
};

}  // namespace dewweir::control_plane
