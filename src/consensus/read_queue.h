// Reads that wait for a majority to confirm the leader (thesis 6.4).
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/messages.h"

namespace dewweir::consensus {

using ReadToken = std::uint64_t;  // the caller's name of a read

// The read may be answered from a state machine that has applied `index`.
struct SafeRead {
    ReadToken token = 0;
    Index index = 0;
};

enum class ReadUrgency : std::uint8_t {
    at_once,     // starts a heartbeat round
    next_round,  // rides on the next regular one
};

// Who waits: the leader's own caller, or a follower that asked.
struct WaitingRead {
    ReplicaId asker = 0;
    ReadToken token = 0;
};

struct ConfirmedRead {
    WaitingRead read;
    Index index = 0;
};

class ReadQueue {
  public:
    void add(const WaitingRead& read, ReadUrgency urgency);
    bool wants_round() const { return urgent_; }
    bool empty() const { return unassigned_.empty() && waiting_.empty(); }

    // The reads that came so far are confirmed by `round`, and see the log up to `commit`.
    void assign(HeartbeatRound round, Index commit);
    // A majority has answered `round`.
    std::vector<ConfirmedRead> confirmed(HeartbeatRound round);
    // All reads that were not confirmed.
    std::vector<WaitingRead> clear();

  private:
    struct Assigned {
        HeartbeatRound round = 0;
        ConfirmedRead read;
    };

    std::vector<WaitingRead> unassigned_;
    std::deque<Assigned> waiting_;  // by round
    bool urgent_ = false;           // one of the unassigned ones is
};

}  // namespace dewweir::consensus
