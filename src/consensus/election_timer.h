// When a replica that hears no leader stands for election: a random time in ratio to the widest round trip.
#pragma once

#include <cstdint>

#include "consensus/options.h"

namespace dewweir::consensus {

class ElectionTimer {
  public:
    ElectionTimer(const Options& options, std::uint64_t seed);

    void set_widest_round_trip(microseconds round_trip) { widest_round_trip_ = round_trip; }
    microseconds widest_round_trip() const { return widest_round_trip_; }

    // The shortest time-out: the time for which a leader counts as heard.
    microseconds shortest() const;

    // The first time-out after a start, shorter than later ones: where a leader lives, its voters refuse the
    // pre-vote.
    void start(TimePoint now);
    // Draws a time-out in [shortest, 2 x shortest) and counts it from `now`.
    void restart(TimePoint now);
    // Puts the deadline off by `pause` more.
    void postpone(microseconds pause) { deadline_ += pause; }
    TimePoint deadline() const { return deadline_; }

  private:
    std::uint64_t next_random();

    Options options_;
    std::uint64_t random_state_;
    microseconds widest_round_trip_{0};
    TimePoint deadline_{};
};

}  // namespace dewweir::consensus
