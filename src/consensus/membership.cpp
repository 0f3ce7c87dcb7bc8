#include "consensus/membership.h"

#include <algorithm>

namespace dewweir::consensus {
namespace {

using Change = std::variant<Membership, Refusal>;

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
        return Refusal::already_member;
    auto at_same_address = [&added](const Replica& other) { return other.address == added.address; };
    std::erase_if(membership.learners, at_same_address);
    if (membership.learners.size() >= most_learners) return Refusal::too_many_members;
    membership.learners.push_back(added);
    return membership;
}

Change apply(Membership membership, const PromoteLearner& change) {
    if (find_voter(membership, change.id)) return Refusal::already_member;
    const Replica* learner = find_learner(membership, change.id);
    if (!learner) return Refusal::unknown_replica;
    if (find_voter_at(membership, learner->address)) return Refusal::old_life_is_voter;
    if (membership.voters.size() >= most_voters) return Refusal::too_many_members;
    const std::size_t wanted = wanted_voters(membership);
    membership.voters.push_back(*learner);
    erase(membership.learners, change.id);
    membership.wanted_voters = static_cast<std::uint32_t>(wanted);
    return membership;
}

Change apply(Membership membership, const ExchangeVoter& change) {
    const Replica* learner = find_learner(membership, change.learner);
    if (!learner || !find_voter(membership, change.voter)) return Refusal::unknown_replica;
    membership.wanted_voters = static_cast<std::uint32_t>(wanted_voters(membership));
    membership.outgoing = membership.voters;
    membership.voters.push_back(*learner);
    erase(membership.voters, change.voter);
    erase(membership.learners, change.learner);
    return membership;
}

Change apply(Membership membership, const AdoptSize&) {
    membership.wanted_voters = static_cast<std::uint32_t>(largest_odd_size(membership));
    return membership;
}

Change apply(Membership membership, const LeaveJoint&) {
    if (membership.outgoing.empty()) return Refusal::unknown_replica;
    membership.outgoing.clear();
    return membership;
}

Change apply(Membership membership, const RemoveReplica& change) {
    const bool is_voter = find_voter(membership, change.id) != nullptr;
    if (!is_voter && !find_learner(membership, change.id)) return Refusal::unknown_replica;
    if (is_voter && membership.voters.size() == 1) return Refusal::last_voter;
    membership.wanted_voters = static_cast<std::uint32_t>(wanted_voters(membership));
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
    for (const Replica& voter : voters) indexes.push_back(reached(voter.id));
    if (indexes.empty()) return 0;
    std::sort(indexes.begin(), indexes.end());
    return indexes[(indexes.size() - 1) / 2];
}

}  // namespace

Change changed(const Membership& membership, const MembershipChange& change) {
    const bool ends_exchange = std::holds_alternative<LeaveJoint>(change);
    if (!membership.outgoing.empty() && !ends_exchange) return Refusal::exchange_pending;
    return std::visit([&membership](const auto& one) { return apply(membership, one); }, change);
}

const Replica* find_voter(const Membership& membership, ReplicaId id) { return find(membership.voters, id); }

const Replica* find_learner(const Membership& membership, ReplicaId id) {
    return find(membership.learners, id);
}

const Replica* find_voter_at(const Membership& membership, const std::string& address) {
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

std::size_t wanted_voters(const Membership& membership) {
    return membership.wanted_voters ? membership.wanted_voters : membership.voters.size();
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
