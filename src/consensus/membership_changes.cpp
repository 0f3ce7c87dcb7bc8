// Membership changes, one replica at a time (thesis 4.1 to 4.2), and leadership transfer (3.10).
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace dewweir::consensus {

ProposeResult Raft::propose_membership(TimePoint now, const MembershipChange& change) {
    advance_clock(now);
    if (const std::optional<RefusalReason> refusal = membership_refusal()) return refused(*refusal);
    std::variant<Membership, RefusalReason> result = membership_after(log_.membership(), change);
    if (const auto* refusal = std::get_if<RefusalReason>(&result)) return refused(*refusal);
    set_membership(std::get<Membership>(result));
    append(EntryKind::membership, {}, std::get<Membership>(std::move(result)));
    return Accepted{log_.last_index(), term_};
}

// Why no membership change may be proposed now. A change has to wait until the previous one and an entry of
// the leader's own term are committed (Ongaro's correction of 2015 to thesis 4.1).
std::optional<RefusalReason> Raft::membership_refusal() const {
    if (role_ != Role::leader) return RefusalReason::not_leader;
    if (transfer_) return RefusalReason::leadership_transfer_pending;
    const bool pending = log_.membership_index() > commit_ || !has_committed_in_term();
    if (pending) return RefusalReason::membership_change_pending;
    return std::nullopt;
}

// Adds and removes Progress objects so that there is one for each other member of `membership`.
void Raft::set_membership(const Membership& membership) {
    membership_changed_at_ = now_;
    std::erase_if(progress_, [&](const auto& item) { return !is_member(membership, item.first); });
    for (const Replica& member : all_members(membership)) {
        if (member.id == self_.id) continue;
        progress_.try_emplace(member.id, member, log_.last_index() + 1, now_);
    }
}

GroupState Raft::group_state() const {
    GroupState group;
    group.liveness_timeout = timer_.minimum_timeout();
    group.time_since_change = std::chrono::duration_cast<microseconds>(now_ - membership_changed_at_);
    for (const auto& [id, progress] : progress_) {
        MemberState state;
        state.id = id;
        state.time_since_contact = progress.time_since_contact(now_);
        state.leaving = progress.has_recent_leave_request(options_.membership.leave_request_ttl, now_);
        state.caught_up = progress.caught_up() && progress.match() + options_.max_inflight_appends >= commit_;
        group.members.push_back(state);
    }
    return group;
}

// Proposes the next membership change, if one is due. Each change is a log entry of its own, so that a later
// leader continues from it.
void Raft::maintain_membership() {
    if (membership_refusal()) return;
    const microseconds limit = timer_.minimum_timeout();
    for (const Replica& learner : log_.membership().learners) {
        progress_.at(learner.id).measure_catch_up(log_.last_index(), now_, limit);
    }
    const auto change = next_change(log_.membership(), group_state(), options_.membership);
    if (!change) return;
    const auto* const replacement = std::get_if<ReplaceVoter>(&*change);
    if (replacement && !options_.guards.joint_consensus) return replace_without_joint_consensus(*replacement);
    propose_membership(now_, *change);
}

// Unsafe, reached only if a test switches SafetyGuards::joint_consensus off: the majorities before and after
// the change need not have a member in common.
void Raft::replace_without_joint_consensus(const ReplaceVoter& replacement) {
    Membership membership = std::get<Membership>(membership_after(log_.membership(), replacement));
    membership.outgoing.clear();
    set_membership(membership);
    append(EntryKind::membership, {}, std::move(membership));
}

// Acts on the latest membership once it is committed. Joint consensus ends immediately. A leader that is no
// longer a voter steps down (thesis 4.2.2), after it has sent the commit index to its followers.
void Raft::apply_committed_membership() {
    if (log_.membership_index() > commit_) return;
    if (!log_.membership().outgoing.empty()) {
        propose_membership(now_, LeaveJoint{});
        return;
    }
    if (is_voter()) return;
    const std::optional<Replica> successor = best_successor();
    start_heartbeat_round();
    if (successor) send_timeout_now(*successor);
    become_follower(term_);
}

std::optional<Refused> Raft::transfer_leadership(TimePoint now, ReplicaId to) {
    advance_clock(now);
    if (role_ != Role::leader) return refused(RefusalReason::not_leader);
    if (transfer_) return refused(RefusalReason::leadership_transfer_pending);
    const bool possible = to != self_.id && find_voter(log_.membership(), to);
    if (!possible) return refused(RefusalReason::unknown_replica);
    transfer_ = Transfer{to, now_ + timer_.minimum_timeout(), false};
    continue_transfer();
    return std::nullopt;
}

void Raft::continue_transfer() {
    if (!transfer_) return;
    auto found = progress_.find(transfer_->to);
    if (found == progress_.end() || now_ >= transfer_->deadline) {
        transfer_.reset();
        return;
    }
    const bool has_all = found->second.match() == log_.last_index();
    if (transfer_->timeout_now_sent || !has_all) return;
    transfer_->timeout_now_sent = true;
    send_timeout_now(found->second.replica());
}

void Raft::step_down(TimePoint now) {
    advance_clock(now);
    if (role_ == Role::leader) {
        if (const std::optional<Replica> successor = best_successor()) send_timeout_now(*successor);
    }
    become_follower(term_);
    timer_.restart(now_);
    timer_.postpone(2 * timer_.minimum_timeout());
}

void Raft::send_timeout_now(const Replica& replica) { send(replica, TimeoutNow{term_}); }

// The live voter with the longest matching log; none if no other voter is live.
std::optional<Replica> Raft::best_successor() const {
    const Progress* best = nullptr;
    for (const auto& [id, progress] : progress_) {
        const bool eligible =
            find_voter(log_.membership(), id) && progress.contacted_within(timer_.minimum_timeout(), now_);
        if (!eligible) continue;
        if (!best || progress.match() > best->match()) best = &progress;
    }
    if (!best) return std::nullopt;
    return best->replica();
}

}  // namespace dewweir::consensus
