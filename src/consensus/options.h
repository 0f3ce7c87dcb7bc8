// What a replica's owner chooses, and the clock's types.
#pragma once

#include <chrono>
#include <cstddef>

namespace dewweir::consensus {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct Options {
    // The shortest election time-out is this many of the widest measured round trips, within floor and
    // ceiling. The time-out in use is drawn between that and twice that (thesis 3.4, 9.3).
    int round_trips_per_election_timeout = 4;
    milliseconds election_timeout_floor{300};  // at least three heartbeat intervals
    milliseconds election_timeout_ceiling{3000};
    milliseconds heartbeat_interval{100};
    std::size_t max_append_bytes = 64 * 1024;  // of payloads in one message; a single larger entry still goes
    std::size_t max_inflight_appends = 16;     // messages sent to one follower and not yet acknowledged
    std::size_t max_snapshot_chunk_bytes = 64 * 1024;
};

}  // namespace dewweir::consensus
