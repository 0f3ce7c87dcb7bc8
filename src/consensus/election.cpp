// Elections (thesis 3.4, 3.6.1), pre-votes (9.6), and voters that ignore candidates while their leader is
// live (4.2.3).
#include "consensus/raft.h"

namespace dewweir::consensus {

void Raft::start_pre_vote() {
    become_follower(term_);
    role_ = Role::pre_candidate;
    votes_.insert(self_.id);
    timer_.restart(now_);
    if (has_vote_majority()) {
        start_election(false);
        return;
    }
    for (const Replica& voter : all_members(log_.membership())) {
        if (voter.id == self_.id || !has_vote(log_.membership(), voter.id)) continue;
        send(voter, PreVoteRequest{term_, term_ + 1, log_.last_index(), log_.last_term()});
    }
}

// Vote requests are held until the candidate's own vote, and the log that the requests describe, are synced.
// A replica that lost them in a restart could otherwise win the same term twice, or win with a log that it no
// longer has.
void Raft::start_election(bool leadership_transfer) {
    become_follower(term_);
    set_term(term_ + 1);
    role_ = Role::candidate;
    vote_ = self_.id;
    timer_.restart(now_);
    for (const Replica& voter : all_members(log_.membership())) {
        if (voter.id == self_.id || !has_vote(log_.membership(), voter.id)) continue;
        hold_until_persisted(voter,
                             VoteRequest{term_, log_.last_index(), log_.last_term(), leadership_transfer});
    }
    hold_until_persisted(self_, VoteResponse{term_, true});
}

void Raft::become_leader() {
    role_ = Role::leader;
    leader_ = self_;
    votes_.clear();
    round_ = 0;
    progress_.clear();
    set_membership(log_.membership());
    append(EntryKind::no_op, {}, {});
    heartbeat_due_ = now_ + options_.heartbeat_interval;
    start_heartbeat_round();
}

bool Raft::has_live_leader() const {
    if (role_ == Role::leader) return true;
    return leader_ && now_ - last_leader_contact_ < timer_.minimum_timeout();
}

bool Raft::has_vote_majority() const {
    auto agrees = [this](ReplicaId id) { return votes_.contains(id); };
    return has_majority(log_.membership(), agrees);
}

bool Raft::is_up_to_date(Index last_index, Term last_term) const {
    if (last_term != log_.last_term()) return last_term > log_.last_term();
    return last_index >= log_.last_index();
}

void Raft::on(const Replica& from, const PreVoteRequest& request) {
    // Removed replicas are not rejected as such. One whose log is up to date knows of its removal and does
    // not campaign, and one that campaigns may have been added again by entries that have not arrived here
    // yet.
    const bool newer = request.campaign_term > term_;
    const bool up_to_date = is_up_to_date(request.last_index, request.last_term);
    const bool granted = newer && up_to_date && !has_live_leader();
    send(from, PreVoteResponse{term_, request.campaign_term, granted});
}

void Raft::on(const Replica& from, const PreVoteResponse& response) {
    if (response.term > term_) {
        become_follower(response.term);
        return;
    }
    const bool counts =
        role_ == Role::pre_candidate && response.campaign_term == term_ + 1 && response.granted;
    if (!counts) return;
    votes_.insert(from.id);
    if (has_vote_majority()) start_election(false);
}

void Raft::on(const Replica& from, const VoteRequest& request) {
    const bool disturbs = request.term > term_ && has_live_leader() && !request.leadership_transfer;
    if (disturbs) return;
    if (request.term > term_) become_follower(request.term);
    const bool current = request.term == term_;
    const bool may_vote = vote_ == from.id || (vote_ == 0 && !leader_);
    if (!current || !may_vote || !is_up_to_date(request.last_index, request.last_term)) {
        send(from, VoteResponse{term_, false});
        return;
    }
    if (vote_ == 0) {
        vote_ = from.id;
        writes_.hard_state_changed();
    }
    timer_.restart(now_);
    hold_until_persisted(from, VoteResponse{term_, true});
}

void Raft::on(const Replica& from, const VoteResponse& response) {
    if (response.term > term_) {
        become_follower(response.term);
        return;
    }
    const bool counts = role_ == Role::candidate && response.term == term_ && response.granted;
    if (!counts) return;
    votes_.insert(from.id);
    if (has_vote_majority()) become_leader();
}

void Raft::on(const Replica& from, const TimeoutNow& request) {
    const bool from_leader = request.term == term_ && leader_ && leader_->id == from.id;
    if (!from_leader || role_ != Role::follower || !is_voter()) return;
    start_election(true);
}

}  // namespace dewweir::consensus
