// A replica that ends as planned: it hands leadership over and goes when the group does without it, so that
// it is never the only one that holds what was acknowledged.
#include <algorithm>

#include "consensus/raft.h"

namespace dewweir::consensus {

void Raft::prepare_to_leave(TimePoint now) {
    advance_clock(now);
    if (role_ != Role::leader) {
        if (leader_) send(*leader_, LeaveRequest{term_});
        return;
    }
    if (const std::optional<Replica> successor = best_successor()) transfer_leadership(now, successor->id);
}

bool Raft::may_leave() const {
    if (!options_.guards.ask_before_leaving) return true;
    const Membership& membership = log_.membership();
    const bool alone = membership.voters.size() == 1 && find_voter(membership, self_.id);
    return may_leave_ || alone || !is_member(membership, self_.id);
}

// Whether others that were just heard make up a majority and have all that is committed.
bool Raft::majority_without(ReplicaId leaver) const {
    auto holds_all = [this, leaver](ReplicaId id) {
        if (id == leaver) return false;
        if (id == self_.id) return writes_.stable_index() >= commit_;
        const auto found = progress_.find(id);
        if (found == progress_.end()) return false;
        return found->second.heard_within(timer_.shortest(), now_) && found->second.match() >= commit_;
    };
    return has_majority(log_.membership(), holds_all);
}

bool Raft::does_without(ReplicaId leaver) const {
    const Membership& membership = log_.membership();
    if (!is_member(membership, leaver)) return true;
    // A substitute on its way takes the leaver's place first, and a surplus voter is removed.
    const bool changes = !membership.learners.empty() || !membership.outgoing.empty() ||
                         membership.voters.size() > wanted_voters(membership);
    return !changes && has_committed_in_term() && majority_without(leaver);
}

void Raft::on(const Replica& from, const LeaveRequest& request) {
    Progress* const progress = progress_of(from, request.term);
    if (!progress) {
        // Of one that is no member any more, whose term may be an earlier one.
        const bool removed = role_ == Role::leader && !is_member(log_.membership(), from.id);
        if (removed) send(from, LeaveResponse{term_, true});
        return;
    }
    progress->asked_to_leave(now_);
    send(from, LeaveResponse{term_, does_without(from.id)});
}

void Raft::on(const Replica&, const LeaveResponse& response) {
    if (response.may_go) may_leave_ = true;
}

}  // namespace dewweir::consensus
