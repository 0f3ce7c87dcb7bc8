// Who belongs to the group: majorities, and changes of one replica at a time (thesis 4.1). A voter is
// exchanged for another in one joint step (thesis 4.3): a group that waits for a substitute never needs more
// replicas than it needed before, nor loses a voter before the substitute votes.
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

// Refused while an earlier life of the same machine is a voter: that one is exchanged for it.
struct PromoteLearner {
    ReplicaId id = 0;
};

// The learner votes instead of the voter. Until LeaveJoint is committed, both majorities are needed.
struct ExchangeVoter {
    ReplicaId voter = 0;
    ReplicaId learner = 0;
};

// Ends an exchange whose entry is committed.
struct LeaveJoint {};

// The largest odd number of voters that there are is wanted from now on: the group has grown for good.
struct AdoptSize {};

struct RemoveReplica {
    ReplicaId id = 0;
};

using MembershipChange =
    std::variant<AddLearner, PromoteLearner, RemoveReplica, ExchangeVoter, LeaveJoint, AdoptSize>;

enum class Refusal : std::uint8_t {
    not_leader,
    leadership_transfer_pending,
    membership_change_pending,  // or nothing of the leader's term is committed yet; try again shortly
    unknown_replica,
    already_member,
    last_voter,         // a group needs one
    old_life_is_voter,  // see PromoteLearner
    exchange_pending,   // an exchange must end before any other change
    too_many_members,   // see most_voters, most_learners
};

// More voters make every change slower, and no group here needs to lose more than four at once.
constexpr std::size_t most_voters = 9;
// Whoever asks becomes a learner: so many at once.
constexpr std::size_t most_learners = 8;

std::variant<Membership, Refusal> changed(const Membership& membership, const MembershipChange& change);

const Replica* find_voter(const Membership& membership, ReplicaId id);
// Among the voters, or the voters before an exchange: whoever may stand for election.
bool has_vote(const Membership& membership, ReplicaId id);
bool is_member(const Membership& membership, ReplicaId id);
// Voters, voters before an exchange and learners, each once.
std::vector<Replica> all_members(const Membership& membership);
std::size_t wanted_voters(const Membership& membership);
// An even voter beyond it lets a group lose no more.
std::size_t largest_odd_size(const Membership& membership);
const Replica* find_learner(const Membership& membership, ReplicaId id);
const Replica* find_voter_at(const Membership& membership, const std::string& address);

// Of the voters, and during an exchange also of the voters before it.
bool has_majority(const Membership& membership, const std::function<bool(ReplicaId)>& agrees);

// The highest index that a majority of voters, during an exchange each of both majorities, has reached.
Index majority_index(const Membership& membership, const std::function<Index(ReplicaId)>& reached);

}  // namespace dewweir::consensus
