#include "consensus/membership_policy.h"

#include <algorithm>

namespace dewweir::consensus {
namespace {

// A voter unresponsive for this many liveness timeouts is suspected to have failed. While there is one, no
// voter is added, since the new one may be meant to replace it.
constexpr int suspicion_timeouts = 3;

const MemberState* find(const std::vector<MemberState>& members, ReplicaId id) {
    for (const MemberState& member : members) {
        if (member.id == id) return &member;
    }
    return nullptr;
}

// Chooses the next change from one view of the group.
class MembershipPolicy {
  public:
    MembershipPolicy(const Membership& membership, const GroupState& group, const MembershipOptions& options)
        : membership_(membership), group_(group), options_(options) {}

    std::optional<MembershipChange> next() const {
        if (!membership_.outgoing.empty()) return LeaveJoint{};
        if (const MemberState* const lost = unresponsive_learner()) return RemoveReplica{lost->id};
        for (const Replica& learner : membership_.learners) {
            const MemberState* const state = find(group_.members, learner.id);
            const bool ready =
                state && state->caught_up && state->time_since_contact < group_.liveness_timeout;
            if (!ready) continue;
            if (auto change = promotion_change(learner)) return change;
        }
        return surplus_change();
    }

  private:
    // The change that makes a caught-up learner a voter; none while it has to wait.
    std::optional<MembershipChange> promotion_change(const Replica& learner) const {
        // The learner's machine has lost its disk; the replica it held before never returns.
        const Replica* const previous_replica = find_voter_by_address(membership_, learner.address);
        if (previous_replica) return ReplaceVoter{previous_replica->id, learner.id};
        if (const MemberState* const leaver = leaving_voter()) return ReplaceVoter{leaver->id, learner.id};
        if (const MemberState* const failed = failed_voter(options_.replace_voter_after)) {
            return ReplaceVoter{failed->id, learner.id};
        }
        const bool may_add = suspected_voters().empty() && membership_.voters.size() < max_voters;
        if (may_add) return PromoteLearner{learner.id};
        return std::nullopt;
    }

    // The change that resolves a surplus of voters over the target; none if there is none or it has to wait.
    std::optional<MembershipChange> surplus_change() const {
        if (membership_.voters.size() <= target_voter_count(membership_)) return std::nullopt;
        if (const MemberState* const leaver = leaving_voter()) return RemoveReplica{leaver->id};
        if (const MemberState* const failed = failed_voter(options_.remove_voter_after)) {
            return RemoveReplica{failed->id};
        }
        const bool has_grown = largest_odd_size(membership_) > target_voter_count(membership_);
        const bool is_permanent =
            group_.time_since_change >= options_.adopt_growth_after && suspected_voters().empty();
        if (has_grown && is_permanent) return AdoptVoterCount{};
        return std::nullopt;
    }

    const MemberState* leaving_voter() const {
        for (const Replica& voter : membership_.voters) {
            const MemberState* const state = find(group_.members, voter.id);
            if (state && state->leaving) return state;
        }
        return nullptr;
    }

    std::vector<const MemberState*> suspected_voters() const {
        std::vector<const MemberState*> found;
        for (const Replica& voter : membership_.voters) {
            const MemberState* const state = find(group_.members, voter.id);
            if (state && state->time_since_contact >= suspicion_timeouts * group_.liveness_timeout)
                found.push_back(state);
        }
        return found;
    }

    // The voter that counts as failed, if any. If several voters are suspected, some may only be partitioned
    // away: none counts as failed until a partition would have ended, and then only the one that has been
    // unresponsive the longest.
    const MemberState* failed_voter(microseconds required_silence) const {
        const std::vector<const MemberState*> suspected = suspected_voters();
        if (suspected.empty()) return nullptr;
        const auto shorter = [](const MemberState* one, const MemberState* other) {
            return one->time_since_contact < other->time_since_contact;
        };
        const MemberState* const longest = *std::max_element(suspected.begin(), suspected.end(), shorter);
        const microseconds needed =
            suspected.size() == 1 ? required_silence : options_.max_partition_duration;
        return longest->time_since_contact >= needed ? longest : nullptr;
    }

    const MemberState* unresponsive_learner() const {
        for (const Replica& learner : membership_.learners) {
            const MemberState* const state = find(group_.members, learner.id);
            if (state && state->time_since_contact >= options_.remove_learner_after) return state;
        }
        return nullptr;
    }

    const Membership& membership_;
    const GroupState& group_;
    const MembershipOptions& options_;
};

}  // namespace

std::optional<MembershipChange> next_change(const Membership& membership, const GroupState& group,
                                            const MembershipOptions& options) {
    return MembershipPolicy(membership, group, options).next();
}

}  // namespace dewweir::consensus
