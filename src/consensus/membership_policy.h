// Decides which membership change a leader makes next: which learner becomes a voter, which voter it
// replaces, and which replica is removed. A failed voter stays a member until a substitute replaces it, so a
// repair never reduces the number of failures that the group tolerates.
#pragma once

#include <optional>
#include <vector>

#include "consensus/membership.h"
#include "consensus/options.h"

namespace dewweir::consensus {

// What the leader knows about another member.
struct MemberState {
    ReplicaId id = 0;
    microseconds time_since_contact{0};  // since the leader last received a message from it
    bool leaving = false;                // has a request to leave that has not expired
    bool caught_up = false;              // a learner that lacks at most the appends in flight
};

// The leader's view of the group.
struct GroupState {
    std::vector<MemberState> members;   // all members but the leader
    microseconds liveness_timeout{0};   // a member counts as live if it was contacted within this time
    microseconds time_since_change{0};  // since the membership last changed or this leader was elected
};

// The next change; none if the membership is as it should be or has to wait.
std::optional<MembershipChange> next_change(const Membership& membership, const GroupState& group,
                                            const MembershipOptions& options);

}  // namespace dewweir::consensus
