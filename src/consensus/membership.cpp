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
    membership.learners.push_back(added);
    return membership;
}

Change apply(Membership membership, const PromoteLearner& change) {
    if (find_voter(membership, change.id)) return Refusal::already_member;
    const Replica* learner = find_learner(membership, change.id);
    if (!learner) return Refusal::unknown_replica;
    if (find_voter_at(membership, learner->address)) return Refusal::old_life_is_voter;
    membership.voters.push_back(*learner);
    erase(membership.learners, change.id);
    return membership;
}

Change apply(Membership membership, const RemoveReplica& change) {
    const bool is_voter = find_voter(membership, change.id) != nullptr;
    if (!is_voter && !find_learner(membership, change.id)) return Refusal::unknown_replica;
    if (is_voter && membership.voters.size() == 1) return Refusal::last_voter;
    erase(membership.voters, change.id);
    erase(membership.learners, change.id);
    return membership;
}

}  // namespace

Change changed(const Membership& membership, const MembershipChange& change) {
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

bool has_majority(const Membership& membership, const std::function<bool(ReplicaId)>& agrees) {
    std::size_t count = 0;
    for (const Replica& voter : membership.voters) {
        if (agrees(voter.id)) ++count;
    }
    return count > membership.voters.size() / 2;
}

Index majority_index(const Membership& membership, const std::function<Index(ReplicaId)>& reached) {
    std::vector<Index> indexes;
    for (const Replica& voter : membership.voters) indexes.push_back(reached(voter.id));
    if (indexes.empty()) return 0;
    std::sort(indexes.begin(), indexes.end());
    return indexes[(indexes.size() - 1) / 2];
}

}  // namespace dewweir::consensus
