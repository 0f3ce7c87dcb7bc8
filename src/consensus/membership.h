// Who belongs to the group: majorities, and changes of one replica at a time (thesis 4.1).
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "consensus/types.h"

namespace dewweir::consensus {

// The replica receives the log and, once caught up, is made a voter by the leader. A learner at the same
// address, which can only be an earlier life of that machine, is dropped.
struct AddLearner {
    Replica replica;
};

// Refused while an earlier life of the same machine is a voter: exchanging two voters in one step would allow
// two majorities without a common member. The leader removes that one first.
struct PromoteLearner {
    ReplicaId id = 0;
};

struct RemoveReplica {
    ReplicaId id = 0;
};

using MembershipChange = std::variant<AddLearner, PromoteLearner, RemoveReplica>;

enum class Refusal : std::uint8_t {
    not_leader,
    leadership_transfer_pending,
    membership_change_pending,  // or nothing of the leader's term is committed yet; try again shortly
    unknown_replica,
    already_member,
    last_voter,         // a group needs one
    old_life_is_voter,  // see PromoteLearner
};

std::variant<Membership, Refusal> changed(const Membership& membership, const MembershipChange& change);

const Replica* find_voter(const Membership& membership, ReplicaId id);
const Replica* find_learner(const Membership& membership, ReplicaId id);
const Replica* find_voter_at(const Membership& membership, const std::string& address);

bool has_majority(const Membership& membership, const std::function<bool(ReplicaId)>& agrees);

// The highest index that a majority of voters has reached.
Index majority_index(const Membership& membership, const std::function<Index(ReplicaId)>& reached);

}  // namespace dewweir::consensus
