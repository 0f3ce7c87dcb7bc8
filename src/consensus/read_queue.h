// Linearizable reads that wait for a majority to confirm the leader (read index, thesis 6.4).
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/messages.h"

namespace dewweir::consensus {

// Chosen by the caller to identify a read.
using ReadToken = std::uint64_t;

// A confirmed read: it may be answered from a state machine that has applied `index`.
struct SafeRead {
    ReadToken token = 0;
    Index index = 0;
};

enum class ReadUrgency : std::uint8_t {
    immediate,   // starts a heartbeat round of its own
    next_round,  // is confirmed by the next periodic heartbeat round
};

// A read with its requester: the leader's own caller, or a follower.
struct WaitingRead {
    ReplicaId requester = 0;
    ReadToken token = 0;
};

struct ConfirmedRead {
    WaitingRead read;
    Index index = 0;  // commit index when the read's heartbeat round started
};

class ReadQueue {
  public:
    void add(const WaitingRead& read, ReadUrgency urgency);
    // Whether an immediate read has no heartbeat round yet.
    bool needs_heartbeat_round() const { return urgent_; }
    bool empty() const { return unassigned_.empty() && waiting_.empty(); }

    // Assigns all reads without a round to `round`; they will see the log up to `commit`.
    void assign(HeartbeatRound round, Index commit);
    // Removes and returns the reads that are confirmed once a majority has answered `round`.
    std::vector<ConfirmedRead> confirmed(HeartbeatRound round);
    // Removes and returns all reads that are not confirmed.
    std::vector<WaitingRead> clear();

  private:
    struct Assigned {
        HeartbeatRound round = 0;
        ConfirmedRead read;
    };

    std::vector<WaitingRead> unassigned_;
    std::deque<Assigned> waiting_;  // ordered by round
    bool urgent_ = false;           // an unassigned read is immediate
};

}  // namespace dewweir::consensus
