// The group's membership: majorities, and changes of one replica at a time (thesis 4.1). A voter is replaced
// by another through joint consensus (thesis 4.3), so that a group waiting for a substitute needs no
// additional replica and loses no voter before the substitute votes.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "consensus/types.h"

namespace dewweir::consensus {

// Adds a replica that receives the log; the leader promotes it to a voter once it has caught up. Removes any
// learner at the same address, which can only be an earlier replica of the same machine.
struct AddLearner {
    Replica replica;
};

// Makes a learner a voter. Rejected while a voter has the same address, which is an earlier replica of the
// same machine: use ReplaceVoter for it.
struct PromoteLearner {
    ReplicaId id = 0;
};

// Makes the learner a voter in place of `voter`. Starts joint consensus: until LeaveJoint is committed,
// decisions need the majorities of both the old and the new voters.
struct ReplaceVoter {
    ReplicaId voter = 0;
    ReplicaId learner = 0;
};

// Ends the joint consensus of a committed ReplaceVoter.
struct LeaveJoint {};

// Sets the target voter count to the largest odd number of current voters, after the group has grown
// permanently.
struct AdoptVoterCount {};

// Removes a voter or a learner.
struct RemoveReplica {
    ReplicaId id = 0;
};

using MembershipChange =
    std::variant<AddLearner, PromoteLearner, RemoveReplica, ReplaceVoter, LeaveJoint, AdoptVoterCount>;

// Why a proposal or another request to a replica was rejected.
enum class RefusalReason : std::uint8_t {
    not_leader,
    leadership_transfer_pending,
    membership_change_pending,  // or no entry of the leader's term is committed yet; retry shortly
    unknown_replica,
    already_member,
    last_voter,             // the only voter cannot be removed
    voter_at_same_address,  // see PromoteLearner
    joint_change_pending,   // joint consensus must end before any other change
    too_many_members,       // see max_voters, max_learners
};

// Each additional voter slows down every commit, and nine already tolerate the loss of four at once.
constexpr std::size_t max_voters = 9;
// Bounds the group's size, since every replica that asks to join becomes a learner.
constexpr std::size_t max_learners = 8;

// The membership after `change`, or why the change is rejected.
std::variant<Membership, RefusalReason> membership_after(const Membership& membership,
                                                         const MembershipChange& change);

// Null if there is no such voter.
const Replica* find_voter(const Membership& membership, ReplicaId id);
// Whether the replica may vote and campaign: a voter, or an outgoing voter during joint consensus.
bool has_vote(const Membership& membership, ReplicaId id);
// Whether the replica is a voter, an outgoing voter or a learner.
bool is_member(const Membership& membership, ReplicaId id);
// Voters, outgoing voters and learners, each replica once.
std::vector<Replica> all_members(const Membership& membership);
// The number of voters the group should have (Membership::target_voter_count), never 0.
std::size_t target_voter_count(const Membership& membership);
// The number of voters, less one if it is even: an even voter does not increase the number of failures that
// the group tolerates.
std::size_t largest_odd_size(const Membership& membership);
// Null if there is no such learner.
const Replica* find_learner(const Membership& membership, ReplicaId id);
// Null if no voter has this address.
const Replica* find_voter_by_address(const Membership& membership, const std::string& address);

// Whether a majority of the voters, and during joint consensus also a majority of the outgoing voters,
// agrees.
bool has_majority(const Membership& membership, const std::function<bool(ReplicaId)>& agrees);

// The highest index that a majority of the voters has reached, and during joint consensus also a majority of
// the outgoing voters.
Index majority_index(const Membership& membership, const std::function<Index(ReplicaId)>& reached);

}  // namespace dewweir::consensus
