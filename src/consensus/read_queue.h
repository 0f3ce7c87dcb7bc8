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

class ReadQueue {
  public:
    void add(ReadToken token) { unassigned_.push_back(token); }
    bool wants_round() const { return !unassigned_.empty(); }
    bool empty() const { return unassigned_.empty() && waiting_.empty(); }

    // The reads that came so far are confirmed by `round`, and see the log up to `commit`.
    void assign(HeartbeatRound round, Index commit);
    // A majority has answered `round`.
    std::vector<SafeRead> confirmed(HeartbeatRound round);
    // All reads that were not confirmed.
    std::vector<ReadToken> clear();

  private:
    struct Waiting {
        HeartbeatRound round = 0;
        SafeRead read;
    };

    std::vector<ReadToken> unassigned_;
    std::deque<Waiting> waiting_;  // by round
};

}  // namespace dewweir::consensus
