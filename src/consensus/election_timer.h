// Randomized election timeout: the time without a leader after which a replica campaigns, proportional to the
// longest round trip in the group.
#pragma once

#include <cstdint>

#include "consensus/options.h"

namespace dewweir::consensus {

class ElectionTimer {
  public:
    // The same `seed` yields the same timeouts.
    ElectionTimer(const Options& options, std::uint64_t seed);

    void set_max_round_trip(microseconds round_trip) { max_round_trip_ = round_trip; }
    microseconds max_round_trip() const { return max_round_trip_; }

    // The minimum election timeout; also the time since its last message for which a leader, or for the
    // leader a follower, counts as live.
    microseconds minimum_timeout() const;

    // Starts the first timeout after a process start. It is shorter than later ones, which is harmless: if
    // the group has a leader, its voters reject the pre-vote.
    void start(TimePoint now);
    // Starts a timeout drawn from [minimum_timeout, 2 x minimum_timeout).
    void restart(TimePoint now);
    // Moves the deadline back by `delay`.
    void postpone(microseconds delay) { deadline_ += delay; }
    TimePoint deadline() const { return deadline_; }

  private:
    std::uint64_t next_random();

    Options options_;
    std::uint64_t random_state_;
    microseconds max_round_trip_{0};
    TimePoint deadline_{};
};

}  // namespace dewweir::consensus
