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
void Raft::set_membership(Membership membership) {
    std::vector<Replica> members = std::move(membership.voters);
    members.insert(members.end(), membership.learners.begin(), membership.learners.end());
    auto is_member = [&members](ReplicaId id) {
        return std::any_of(members.begin(), members.end(), [id](const Replica& one) { return one.id == id; });
    };
    std::erase_if(progress_, [&is_member](const auto& item) { return !is_member(item.first); });
    for (const Replica& member : members) {
        if (member.id == self_.id) continue;
        progress_.try_emplace(member.id, member, log_.last_index() + 1, now_);
    }
}

// Makes voters of learners that have caught up. Where a learner is the new life of a machine whose disk was
// lost, the old life is removed first, by a change of its own; the next call goes on from there, also at a
// later leader.
void Raft::maintain_membership() {
    if (membership_refusal()) return;
    const microseconds limit = timer_.shortest();
    const std::vector<Replica> learners = log_.membership().learners;
    for (const Replica& learner : learners) {
        Progress& progress = progress_.at(learner.id);
        progress.measure_catch_up(log_.last_index(), now_, limit);
        const bool ready = progress.caught_up() && progress.heard_within(limit, now_);
        if (!ready) continue;
        const Replica* old_life = find_voter_at(log_.membership(), learner.address);
        if (old_life) {
            propose_membership(now_, RemoveReplica{old_life->id});
        } else {
            propose_membership(now_, PromoteLearner{learner.id});
        }
        return;
    }
}

// A leader that a committed change has removed leads no longer (thesis 4.2.2); followers learn of the commit
// first.
void Raft::follow_membership() {
    const bool removal_committed = !is_voter() && log_.membership_index() <= commit_;
    if (!removal_committed) return;
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
