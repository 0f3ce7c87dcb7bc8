// Log replication (thesis 3.5), commitment (3.6.2), disk writes in parallel with messages (10.2.1),
// confirmation of reads (6.4) and check quorum (6.2).
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace dewweir::consensus {
namespace {

// Heartbeat rounds whose responses still measure a round trip.
constexpr std::size_t max_remembered_rounds = 64;
// A message without a response for this many round trips counts as lost.
constexpr int resend_round_trips = 2;

}  // namespace

void Raft::append(EntryKind kind, std::string payload, Membership membership) {
    Entry entry;
    entry.term = term_;
    entry.index = log_.last_index() + 1;
    entry.kind = kind;
    entry.payload = std::move(payload);
    entry.membership = std::move(membership);
    writes_.entries_changed(entry.index);
    log_.append(std::move(entry));
}

void Raft::start_heartbeat_round() {
    ++round_;
    rounds_.push_back({round_, now_});
    if (rounds_.size() > max_remembered_rounds) rounds_.pop_front();
    if (has_committed_in_term()) read_queue_.assign(round_, commit_);
    for (auto& [id, progress] : progress_) {
        const Index commit = std::min(commit_, progress.match());
        send(progress.replica(), HeartbeatRequest{term_, round_, commit, timer_.max_round_trip()});
    }
    confirm_reads();
}

void Raft::send_appends() {
    for (auto& [id, progress] : progress_) {
        while (progress.may_send(options_.max_inflight_appends)) {
            const bool probing = progress.state() == ReplicationState::probe;
            const bool has_entries = progress.next() <= log_.last_index();
            if (!probing && !has_entries) break;
            send_append(progress);
        }
    }
}

void Raft::send_append(Progress& progress) {
    const Index previous = progress.next() - 1;
    const std::optional<Term> previous_term = log_.term_at(previous);
    if (!previous_term) {
        progress.begin_snapshot(log_.snapshot());
        send_snapshot_chunk(progress);
        return;
    }
    AppendRequest request;
    request.term = term_;
    request.previous_index = previous;
    request.previous_term = *previous_term;
    request.commit = commit_;
    request.entries = log_.slice(progress.next(), options_.max_append_bytes);
    const Index last = previous + request.entries.size();
    progress.on_append_sent(last, request.entries.empty(), now_);
    send(progress.replica(), std::move(request));
}

// The leader counts itself like any other replica, with the entries on its own disk. It can commit entries
// that are not on its own disk yet if a majority of the others has them.
void Raft::update_commit() {
    auto reached = [this](ReplicaId id) {
        if (id == self_.id) return writes_.stable_index();
        auto found = progress_.find(id);
        return found == progress_.end() ? Index{0} : found->second.match();
    };
    const Index index = majority_index(log_.membership(), reached);
    const bool advances = index > commit_ && log_.term_at(index) == term_;
    if (!advances) return;
    advance_commit_to(index);
    apply_committed_membership();
}

void Raft::check_quorum() {
    const microseconds liveness_timeout = timer_.minimum_timeout();
    auto is_live = [this, liveness_timeout](ReplicaId id) {
        if (id == self_.id) return true;
        auto found = progress_.find(id);
        return found != progress_.end() && found->second.contacted_within(liveness_timeout, now_);
    };
    if (!has_majority(log_.membership(), is_live)) become_follower(term_);
}

void Raft::measure_round_trip(Progress& progress, HeartbeatRound round) {
    auto same = [round](const Round& sent) { return sent.number == round; };
    const auto sent = std::find_if(rounds_.begin(), rounds_.end(), same);
    if (sent == rounds_.end()) return;
    progress.add_round_trip_sample(std::chrono::duration_cast<microseconds>(now_ - sent->sent_at));
    microseconds max_round_trip{0};
    const microseconds liveness_timeout = timer_.minimum_timeout();
    for (const auto& [id, other] : progress_) {
        if (other.contacted_within(liveness_timeout, now_))
            max_round_trip = std::max(max_round_trip, other.round_trip());
    }
    timer_.set_max_round_trip(max_round_trip);
}

// The Progress of a message's sender, whose contact is recorded; null if this replica does not lead in `term`
// or the sender is not a member.
Progress* Raft::progress_of(const Replica& from, Term term) {
    if (term > term_) become_follower(term);
    if (role_ != Role::leader || term != term_) return nullptr;
    auto found = progress_.find(from.id);
    if (found == progress_.end()) return nullptr;
    found->second.record_contact(now_);
    return &found->second;
}

void Raft::on(const Replica& from, const AppendResponse& response) {
    Progress* progress = progress_of(from, response.term);
    if (!progress) return;
    if (!response.accepted) {
        progress->on_append_rejected(response.previous_index, response.index);
        return;
    }
    progress->on_append_accepted(response.index);
    update_commit();
    if (role_ == Role::leader) continue_transfer();
}

void Raft::on(const Replica& from, const HeartbeatResponse& response) {
    Progress* progress = progress_of(from, response.term);
    if (!progress) return;
    const bool first_response = response.round > progress->acknowledged_round();
    if (first_response) measure_round_trip(*progress, response.round);
    const microseconds interval = options_.heartbeat_interval;
    const microseconds resend_after = std::max(interval, progress->round_trip() * resend_round_trips);
    progress->on_heartbeat_response(response, now_, resend_after);
    confirm_reads();
    update_commit();
}

// Whether a message of `term` comes from the current leader; if so, this replica follows the sender. A sender
// with an outdated term is informed of the current one.
bool Raft::accept_leader(const Replica& from, Term term) {
    if (term < term_) {
        send(from, AppendResponse{term_, false, 0, 0});
        return false;
    }
    if (term > term_ || role_ != Role::follower) become_follower(term);
    leader_ = from;
    last_leader_contact_ = now_;
    timer_.restart(now_);
    return true;
}

// The index up to which the log on disk equals the leader's; 0 until the current term is on disk as well.
Index Raft::synced_match() const {
    if (!matched_ || !writes_.is_persisted(term_write_sequence_)) return 0;
    return std::min(*matched_, writes_.stable_index());
}

void Raft::acknowledge() {
    const Index synced = synced_match();
    if (role_ != Role::follower || !leader_ || synced == 0) return;
    send(*leader_, AppendResponse{term_, true, synced, 0});
}

// The last entry before the conflict that may equal the leader's. Entries with a later term than the leader's
// entry cannot.
Index Raft::conflict_hint(Index previous_index, Term previous_term) const {
    Index hint = std::min(previous_index - 1, log_.last_index());
    while (hint > commit_ && log_.term_at(hint).value_or(0) > previous_term) --hint;
    return hint;
}

void Raft::accept_entries(const std::vector<Entry>& entries) {
    for (const Entry& entry : entries) {
        const bool known = entry.index <= commit_ || log_.matches(entry.index, entry.term);
        if (known) continue;
        if (entry.index <= log_.last_index()) log_.truncate_from(entry.index);
        writes_.entries_changed(entry.index);
        log_.append(entry);
    }
}

void Raft::on(const Replica& from, const AppendRequest& request) {
    if (!accept_leader(from, request.term)) return;
    const bool covered =
        request.previous_index <= commit_;  // committed entries are identical at all replicas
    const bool matches_previous = covered || log_.matches(request.previous_index, request.previous_term);
    if (!matches_previous) {
        const Index hint = conflict_hint(request.previous_index, request.previous_term);
        send(from, AppendResponse{term_, false, hint, request.previous_index});
        return;
    }
    accept_entries(request.entries);
    const Index last = request.previous_index + request.entries.size();
    matched_ = std::max({matched_.value_or(0), last, commit_});
    advance_commit_to(std::min(request.commit, last));
    const bool already_synced = synced_match() >= last;
    if (already_synced) acknowledge();
}

void Raft::on(const Replica& from, const HeartbeatRequest& request) {
    if (!accept_leader(from, request.term)) return;
    timer_.set_max_round_trip(request.max_round_trip);
    // The leader sends a commit index no higher than what this replica has acknowledged in this term.
    matched_ = std::max(matched_.value_or(0), request.commit);
    advance_commit_to(request.commit);
    send(from, HeartbeatResponse{term_, request.round, *matched_, synced_match()});
}

}  // namespace dewweir::consensus
