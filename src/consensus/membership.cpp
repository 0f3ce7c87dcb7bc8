#include "consensus/membership.h"

#include <algorithm>

namespace dewweir::consensus {
namespace {

using Change = std::variant<Membership, RefusalReason>;

const Replica* find(const std::vector<Replica>& replicas, ReplicaId id) {
    for (const Replica& replica : replicas) {
        if (replica.id == id) return &replica;
    }
    return nullptr;
}

void erase(std::vector<Replica>& replicas, ReplicaId id) {
    std::erase_if(replicas, [id](const Replica& replica) { return replica.id == id; });
}

Change apply(Membership membership, const AddLearner& change) {
    const Replica& added = change.replica;
    if (find_voter(membership, added.id) || find_learner(membership, added.id))
        return RefusalReason::already_member;
    auto at_same_address = [&added](const Replica& other) { return other.address == added.address; };
    std::erase_if(membership.learners, at_same_address);
    if (membership.learners.size() >= max_learners) return RefusalReason::too_many_members;
    membership.learners.push_back(added);
    return membership;
}

Change apply(Membership membership, const PromoteLearner& change) {
    if (find_voter(membership, change.id)) return RefusalReason::already_member;
    const Replica* learner = find_learner(membership, change.id);
    if (!learner) return RefusalReason::unknown_replica;
    if (find_voter_by_address(membership, learner->address)) return RefusalReason::voter_at_same_address;
    if (membership.voters.size() >= max_voters) return RefusalReason::too_many_members;
    const std::size_t target = target_voter_count(membership);
    membership.voters.push_back(*learner);
    erase(membership.learners, change.id);
    membership.target_voter_count = static_cast<std::uint32_t>(target);
    return membership;
}

Change apply(Membership membership, const ReplaceVoter& change) {
    const Replica* learner = find_learner(membership, change.learner);
    if (!learner || !find_voter(membership, change.voter)) return RefusalReason::unknown_replica;
    membership.target_voter_count = static_cast<std::uint32_t>(target_voter_count(membership));
    membership.outgoing = membership.voters;
    membership.voters.push_back(*learner);
    erase(membership.voters, change.voter);
    erase(membership.learners, change.learner);
    return membership;
}

Change apply(Membership membership, const AdoptVoterCount&) {
    membership.target_voter_count = static_cast<std::uint32_t>(largest_odd_size(membership));
    return membership;
}

Change apply(Membership membership, const LeaveJoint&) {
    if (membership.outgoing.empty()) return RefusalReason::unknown_replica;
    membership.outgoing.clear();
    return membership;
}

Change apply(Membership membership, const RemoveReplica& change) {
    const bool is_voter = find_voter(membership, change.id) != nullptr;
    if (!is_voter && !find_learner(membership, change.id)) return RefusalReason::unknown_replica;
    if (is_voter && membership.voters.size() == 1) return RefusalReason::last_voter;
    membership.target_voter_count = static_cast<std::uint32_t>(target_voter_count(membership));
    erase(membership.voters, change.id);
    erase(membership.learners, change.id);
    return membership;
}

bool majority_of(const std::vector<Replica>& voters, const std::function<bool(ReplicaId)>& agrees) {
    const auto count =
        std::count_if(voters.begin(), voters.end(), [&](const Replica& voter) { return agrees(voter.id); });
    return static_cast<std::size_t>(count) > voters.size() / 2;
}

Index reached_by_majority(const std::vector<Replica>& voters,
                          const std::function<Index(ReplicaId)>& reached) {
    std::vector<Index> indexes;
    indexes.reserve(voters.size());
    for (const Replica& voter : voters) indexes.push_back(reached(voter.id));
    if (indexes.empty()) return 0;
    std::sort(indexes.begin(), indexes.end());
    return indexes[(indexes.size() - 1) / 2];
}

}  // namespace

Change membership_after(const Membership& membership, const MembershipChange& change) {
    const bool ends_joint = std::holds_alternative<LeaveJoint>(change);
    if (!membership.outgoing.empty() && !ends_joint) return RefusalReason::joint_change_pending;
    return std::visit([&membership](const auto& one) { return apply(membership, one); }, change);
}

const Replica* find_voter(const Membership& membership, ReplicaId id) { return find(membership.voters, id); }

const Replica* find_learner(const Membership& membership, ReplicaId id) {
    return find(membership.learners, id);
}

const Replica* find_voter_by_address(const Membership& membership, const std::string& address) {
    for (const Replica& replica : membership.voters) {
        if (replica.address == address) return &replica;
    }
    return nullptr;
}

bool has_vote(const Membership& membership, ReplicaId id) {
    return find(membership.voters, id) || find(membership.outgoing, id);
}

bool is_member(const Membership& membership, ReplicaId id) {
    return has_vote(membership, id) || find(membership.learners, id);
}

std::vector<Replica> all_members(const Membership& membership) {
    std::vector<Replica> members = membership.voters;
    for (const Replica& replica : membership.outgoing) {
        if (!find(members, replica.id)) members.push_back(replica);
    }
    for (const Replica& replica : membership.learners) {
        if (!find(members, replica.id)) members.push_back(replica);
    }
    return members;
}

std::size_t target_voter_count(const Membership& membership) {
    return membership.target_voter_count ? membership.target_voter_count : membership.voters.size();
}

std::size_t largest_odd_size(const Membership& membership) {
    const std::size_t count = membership.voters.size();
    return count % 2 == 1 ? count : count - 1;
}

bool has_majority(const Membership& membership, const std::function<bool(ReplicaId)>& agrees) {
    if (!majority_of(membership.voters, agrees)) return false;
    return membership.outgoing.empty() || majority_of(membership.outgoing, agrees);
}

Index majority_index(const Membership& membership, const std::function<Index(ReplicaId)>& reached) {
    const Index index = reached_by_majority(membership.voters, reached);
    if (membership.outgoing.empty()) return index;
    return std::min(index, reached_by_majority(membership.outgoing, reached));
}

}  // namespace dewweir::consensus
