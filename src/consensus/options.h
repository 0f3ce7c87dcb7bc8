// What a replica's owner chooses, and the clock's types.
#pragma once

#include <chrono>
#include <cstddef>

namespace dewweir::consensus {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// When a leader changes the membership by itself (membership_policy.h).
struct MembershipOptions {
    // A voter silent for so long is exchanged for a substitute that has caught up; the substitute of a lost
    // machine has to vote within the platform's `catch_up` (4 s).
    milliseconds silence_before_exchange{2'000};
    // So is one removed where there are more voters than are wanted.
    milliseconds silence_before_removal{3'000};
    // Longer than any cut: of several silent voters one is taken for gone only after so long.
    milliseconds longest_cut{30'000};
    // More voters than are wanted, unchanged for so long, are wanted from then on. Longer than a planned
    // replacement, which has one voter too many while it lasts.
    milliseconds lasting_growth{30'000};
    milliseconds silence_of_learner{5'000};
    // For so long a request to leave holds; it is repeated.
    milliseconds leave_request_holds{1'000};
};

// Guards that the checker of histories takes out, to show that it sees what they prevent.
struct Guards {
    bool joint_exchange = true;      // an exchange of voters needs both majorities
    bool ask_before_leaving = true;  // a replica that leaves asks whether the group does without it
};

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
    MembershipOptions membership;
    Guards guards;
};

}  // namespace dewweir::consensus
