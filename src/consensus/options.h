// Tunables of a replica and of the leader's membership changes, and the time types of this package.
#pragma once

#include <chrono>
#include <cstddef>

namespace dewweir::consensus {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Delays after which a leader changes the membership by itself (membership_policy.h).
struct MembershipOptions {
    // A voter unresponsive for this long is replaced by a substitute that has caught up. The substitute of a
    // lost machine has to vote within the platform's `catch_up` (4 s).
    milliseconds replace_voter_after{2'000};
    // A voter unresponsive for this long is removed if the group has more voters than its target.
    milliseconds remove_voter_after{3'000};
    // Exceeds the duration of any network partition. If several voters are unresponsive, one of them counts
    // as failed only after this long.
    milliseconds max_partition_duration{30'000};
    // A surplus of voters that has been unchanged for this long raises the target voter count. Exceeds the
    // duration of a planned replacement, which has one surplus voter while it runs.
    milliseconds adopt_growth_after{30'000};
    // A learner unresponsive for this long is removed.
    milliseconds remove_learner_after{5'000};
    // Time to live of a request to leave; the leaving replica repeats it.
    milliseconds leave_request_ttl{1'000};
};

// Safety mechanisms. Tests switch them off to show that the history checker detects the violations that they
// prevent.
struct SafetyGuards {
    bool joint_consensus = true;         // replacing a voter needs the majorities of both voter sets
    bool confirm_before_leaving = true;  // a leaving replica waits until the leader permits it to leave
    // a response to an earlier process of the same replica is told from one to this process
    bool tell_lives_apart = true;
};

struct Options {
    // The minimum election timeout is this many times the longest measured round trip, clamped to
    // [election_timeout_floor, election_timeout_ceiling]. The timeout in use is drawn between one and two
    // times the minimum (thesis 3.4, 9.3).
    int round_trips_per_election_timeout = 4;
    milliseconds election_timeout_floor{300};  // at least three heartbeat intervals
    milliseconds election_timeout_ceiling{3000};
    milliseconds heartbeat_interval{100};
    std::size_t max_append_bytes = 64 * 1024;  // payload of one append; a single larger entry is still sent
    std::size_t max_inflight_appends = 16;     // appends sent to one follower and not yet acknowledged
    std::size_t max_snapshot_chunk_bytes = 64 * 1024;
    MembershipOptions membership;
    SafetyGuards guards;
};

}  // namespace dewweir::consensus
