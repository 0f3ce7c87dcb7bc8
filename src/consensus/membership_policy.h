// Which change of the membership a leader makes next: who becomes a voter, in whose place, and who is
// removed. A lost voter waits for its substitute and is exchanged for it, so that a repair never lowers what
// the group can lose.
#pragma once

#include <optional>
#include <vector>

#include "consensus/membership.h"
#include "consensus/options.h"

namespace dewweir::consensus {

// What the leader knows of another member.
struct MemberState {
    ReplicaId id = 0;
    microseconds silence{0};  // since it was last heard
    bool leaving = false;     // has asked to leave, of late
    bool caught_up = false;   // a learner that has what the leader has, but for what is on its way
};

// A leader's view of its group.
struct GroupState {
    std::vector<MemberState> members;  // all but the leader itself
    microseconds heard_within{0};      // a live member is heard so often
    microseconds unchanged_for{0};     // since the membership last changed, or the leader began
};

// Nothing where the membership is as it ought to be, or is better left alone for now.
std::optional<MembershipChange> next_change(const Membership& membership, const GroupState& group,
                                            const MembershipOptions& options);

}  // namespace dewweir::consensus
