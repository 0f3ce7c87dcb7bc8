#include "consensus/membership_policy.h"

#include <algorithm>

namespace dewweir::consensus {
namespace {

// A voter silent for so many times the span in which a live one is heard may be gone: no voter is added
// beside it, since it may turn out to be the one that the newcomer replaces.
constexpr int suspect_spans = 3;

const MemberState* find(const std::vector<MemberState>& members, ReplicaId id) {
    for (const MemberState& member : members) {
        if (member.id == id) return &member;
    }
    return nullptr;
}

class Decision {
  public:
    Decision(const Membership& membership, const GroupState& group, const MembershipOptions& options)
        : membership_(membership), group_(group), options_(options) {}

    std::optional<MembershipChange> next() const {
        if (!membership_.outgoing.empty()) return LeaveJoint{};
        if (const MemberState* const lost = lost_learner()) return RemoveReplica{lost->id};
        for (const Replica& learner : membership_.learners) {
            const MemberState* const state = find(group_.members, learner.id);
            const bool ready = state && state->caught_up && state->silence < group_.heard_within;
            if (!ready) continue;
            if (const auto change = change_for(learner)) return change;
        }
        return surplus();
    }

  private:
    std::optional<MembershipChange> change_for(const Replica& learner) const {
        // The new life of a machine whose disk was lost: its earlier one never comes back.
        const Replica* const old_life = find_voter_at(membership_, learner.address);
        if (old_life) return ExchangeVoter{old_life->id, learner.id};
        if (const MemberState* const leaver = leaving_voter()) return ExchangeVoter{leaver->id, learner.id};
        if (const MemberState* const gone = gone_voter(options_.silence_before_exchange)) {
            return ExchangeVoter{gone->id, learner.id};
        }
        const bool may_add = suspects().empty() && membership_.voters.size() < most_voters;
        if (may_add) return PromoteLearner{learner.id};
        return std::nullopt;
    }

    std::optional<MembershipChange> surplus() const {
        if (membership_.voters.size() <= wanted_voters(membership_)) return std::nullopt;
        if (const MemberState* const leaver = leaving_voter()) return RemoveReplica{leaver->id};
        if (const MemberState* const gone = gone_voter(options_.silence_before_removal)) {
            return RemoveReplica{gone->id};
        }
        const bool has_grown = largest_odd_size(membership_) > wanted_voters(membership_);
        const bool lasts = group_.unchanged_for >= options_.lasting_growth && suspects().empty();
        if (has_grown && lasts) return AdoptSize{};
        return std::nullopt;
    }

    const MemberState* leaving_voter() const {
        for (const Replica& voter : membership_.voters) {
            const MemberState* const state = find(group_.members, voter.id);
            if (state && state->leaving) return state;
        }
        return nullptr;
    }

    std::vector<const MemberState*> suspects() const {
        std::vector<const MemberState*> found;
        for (const Replica& voter : membership_.voters) {
            const MemberState* const state = find(group_.members, voter.id);
            if (state && state->silence >= suspect_spans * group_.heard_within) found.push_back(state);
        }
        return found;
    }

    // Of several silent ones some may only be cut off: none is taken for gone until a cut would have ended,
    // and then the one that has been silent the longest.
    const MemberState* gone_voter(microseconds silence) const {
        const std::vector<const MemberState*> silent = suspects();
        if (silent.empty()) return nullptr;
        const auto shorter = [](const MemberState* one, const MemberState* other) {
            return one->silence < other->silence;
        };
        const MemberState* const longest = *std::max_element(silent.begin(), silent.end(), shorter);
        const microseconds needed = silent.size() == 1 ? silence : options_.longest_cut;
        return longest->silence >= needed ? longest : nullptr;
    }

    const MemberState* lost_learner() const {
        for (const Replica& learner : membership_.learners) {
            const MemberState* const state = find(group_.members, learner.id);
            if (state && state->silence >= options_.silence_of_learner) return state;
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
    return Decision(membership, group, options).next();
}

}  // namespace dewweir::consensus
