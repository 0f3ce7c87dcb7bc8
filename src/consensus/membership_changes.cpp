// Changes of the membership, one replica at a time (thesis 4.1 to 4.2), and leadership transfer (3.10).
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace dewweir::consensus {

ProposeResult Raft::propose_membership(TimePoint now, const MembershipChange& change) {
    advance_clock(now);
    if (const std::optional<Refusal> refusal = membership_refusal()) return refused(*refusal);
    std::variant<Membership, Refusal> result = changed(log_.membership(), change);
    if (const auto* refusal = std::get_if<Refusal>(&result)) return refused(*refusal);
    set_membership(std::get<Membership>(result));
    append(EntryKind::membership, {}, std::get<Membership>(std::move(result)));
    return Accepted{log_.last_index(), term_};
}

// A change must wait until the one before it and an entry of the leader's own term are committed (Ongaro's
// correction of 2015 to thesis 4.1).
std::optional<Refusal> Raft::membership_refusal() const {
    if (role_ != Role::leader) return Refusal::not_leader;
    if (transfer_) return Refusal::leadership_transfer_pending;
    const bool pending = log_.membership_index() > commit_ || !has_committed_in_term();
    if (pending) return Refusal::membership_change_pending;
    return std::nullopt;
}

// Keeps one progress for each other member.
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
    group.heard_within = timer_.shortest();
    group.unchanged_for = std::chrono::duration_cast<microseconds>(now_ - membership_changed_at_);
    for (const auto& [id, progress] : progress_) {
        MemberState state;
        state.id = id;
        state.silence = progress.silence(now_);
        state.leaving = progress.leaving(options_.membership.leave_request_holds, now_);
        state.caught_up = progress.caught_up() && progress.match() + options_.max_inflight_appends >= commit_;
        group.members.push_back(state);
    }
    return group;
}

// Brings the membership one step nearer to what it ought to be. Each step is an entry of its own, so that a
// later leader goes on from there.
void Raft::maintain_membership() {
    if (membership_refusal()) return;
    const microseconds limit = timer_.shortest();
    for (const Replica& learner : log_.membership().learners) {
        progress_.at(learner.id).measure_catch_up(log_.last_index(), now_, limit);
    }
    const auto change = next_change(log_.membership(), group_state(), options_.membership);
    if (!change) return;
    const auto* const exchange = std::get_if<ExchangeVoter>(&*change);
    if (exchange && !options_.guards.joint_exchange) return exchange_in_one_step(*exchange);
    propose_membership(now_, *change);
}

// What must never be done, for the checker to see: both majorities need no member in common.
void Raft::exchange_in_one_step(const ExchangeVoter& exchange) {
    Membership membership = std::get<Membership>(changed(log_.membership(), exchange));
    membership.outgoing.clear();
    set_membership(membership);
    append(EntryKind::membership, {}, std::move(membership));
}

// An exchange that is committed ends at once. A leader that a committed change has removed leads no longer
// (thesis 4.2.2); followers learn of the commit first.
void Raft::follow_membership() {
    if (log_.membership_index() > commit_) return;
    if (!log_.membership().outgoing.empty()) {
        propose_membership(now_, LeaveJoint{});
        return;
    }
    if (is_voter()) return;
    const std::optional<Replica> successor = best_successor();
    start_heartbeat_round();
    if (successor) ask_to_stand(*successor);
    become_follower(term_);
}

std::optional<Refused> Raft::transfer_leadership(TimePoint now, ReplicaId to) {
    advance_clock(now);
    if (role_ != Role::leader) return refused(Refusal::not_leader);
    if (transfer_) return refused(Refusal::leadership_transfer_pending);
    const bool possible = to != self_.id && find_voter(log_.membership(), to);
    if (!possible) return refused(Refusal::unknown_replica);
    transfer_ = Transfer{to, now_ + timer_.shortest(), false};
    continue_transfer();
    return std::nullopt;
}

void Raft::continue_transfer() {
    if (!transfer_) return;
    auto found = progress_.find(transfer_->to);
    if (found == progress_.end() || now_ >= transfer_->give_up_at) {
        transfer_.reset();
        return;
    }
    const bool has_all = found->second.match() == log_.last_index();
    if (transfer_->asked || !has_all) return;
    transfer_->asked = true;
    ask_to_stand(found->second.replica());
}

void Raft::step_down(TimePoint now) {
    advance_clock(now);
    if (role_ == Role::leader) {
        if (const std::optional<Replica> successor = best_successor()) ask_to_stand(*successor);
    }
    become_follower(term_);
    timer_.restart(now_);
    timer_.postpone(2 * timer_.shortest());
}

void Raft::ask_to_stand(const Replica& replica) { send(replica, TimeoutNow{term_}); }

// The voter heard of late that has most of the log.
std::optional<Replica> Raft::best_successor() const {
    const Progress* best = nullptr;
    for (const auto& [id, progress] : progress_) {
        const bool eligible =
            find_voter(log_.membership(), id) && progress.heard_within(timer_.shortest(), now_);
        if (!eligible) continue;
        if (!best || progress.match() > best->match()) best = &progress;
    }
    if (!best) return std::nullopt;
    return best->replica();
}

}  // namespace dewweir::consensus
