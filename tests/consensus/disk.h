// A replica's disk in virtual time. Writes wait in order until they are synced; if the process stops, any
// prefix of the waiting writes may reach the disk; a power loss drops all of them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "consensus/raft.h"

namespace dewweir::consensus::testing {

class Disk {
  public:
    void set_self(const Replica& self) { state_.self = self; }
    void submit(const Write& write);
    void sync_through(WriteSequence sequence);
    std::size_t unsynced() const { return waiting_.size(); }
    // The process or machine stops: only the first `kept` waiting operations reach the disk.
    void stop(std::size_t kept);
    void wipe();
    void forget_unsynced() { waiting_.clear(); }
    const PersistentState& state() const { return state_; }

  private:
    using Operation = std::function<void(PersistentState&)>;
    struct Waiting {
        WriteSequence sequence;
        Operation operation;
    };

    void add(WriteSequence sequence, Operation operation);

    PersistentState state_;
    std::deque<Waiting> waiting_;
};

}  // namespace dewweir::consensus::testing
