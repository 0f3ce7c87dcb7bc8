// Planned shutdown of a replica: it transfers leadership away, and leaves once the group can do without it,
// so that it never takes the only copy of an acknowledged entry with it.
#include <algorithm>

#include "consensus/raft.h"

namespace dewweir::consensus {

void Raft::prepare_to_leave(TimePoint now) {
    advance_clock(now);
    if (role_ != Role::leader) {
        if (leader_) send(*leader_, LeaveRequest{term_, life_});
        return;
    }
    if (const std::optional<Replica> successor = best_successor()) transfer_leadership(now, successor->id);
}

bool Raft::may_leave() const {
    if (!options_.guards.confirm_before_leaving) return true;
    const Membership& membership = log_.membership();
    const bool only_voter = membership.voters.size() == 1 && find_voter(membership, self_.id);
    return may_leave_ || only_voter || !is_member(membership, self_.id);
}

// Whether a majority without `leaver` consists of live replicas that hold all committed entries on disk.
bool Raft::majority_up_to_date_without(ReplicaId leaver) const {
    auto holds_all = [this, leaver](ReplicaId id) {
        if (id == leaver) return false;
        if (id == self_.id) return writes_.stable_index() >= commit_;
        const auto found = progress_.find(id);
        if (found == progress_.end()) return false;
        return found->second.contacted_within(timer_.minimum_timeout(), now_) &&
               found->second.match() >= commit_;
    };
    return has_majority(log_.membership(), holds_all);
}

// Whether `leaver` may leave now.
bool Raft::can_release(ReplicaId leaver) const {
    const Membership& membership = log_.membership();
    if (!is_member(membership, leaver)) return true;
    // A pending change comes first: a learner may replace the leaver, and a surplus voter is removed.
    const bool change_pending = !membership.learners.empty() || !membership.outgoing.empty() ||
                                membership.voters.size() > target_voter_count(membership);
    return !change_pending && has_committed_in_term() && majority_up_to_date_without(leaver);
}

void Raft::on(const Replica& from, const LeaveRequest& request) {
    Progress* const progress = progress_of(from, request.term);
    if (!progress) {
        // The sender may have been removed, and its term may be an earlier one.
        const bool removed = role_ == Role::leader && !is_member(log_.membership(), from.id);
        if (removed) send(from, LeaveResponse{term_, true, request.life});
        return;
    }
    progress->record_leave_request(now_);
    send(from, LeaveResponse{term_, can_release(from.id), request.life});
}

// A permission that an earlier process of this replica asked for may arrive late: the group may need this
// replica now.
void Raft::on(const Replica&, const LeaveResponse& response) {
    const bool for_other_process = response.life != 0 && response.life != life_;
    if (response.permitted && !for_other_process) may_leave_ = true;
}

}  // namespace dewweir::consensus
