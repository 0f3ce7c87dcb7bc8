#include "consensus/raft.h"

#include <algorithm>
#include <random>
#include <utility>

namespace dewweir::consensus {
namespace {

// Position of the snapshot that all replicas of a new group start from. A replica that joins later lacks it
// and therefore receives a snapshot, which contains the membership.
constexpr Index first_index = 1;
constexpr Term first_term = 1;

bool is_first_start(const PersistentState& state, const Membership& initial) {
    const bool has_log = state.snapshot.has_value() || !state.entries.empty();
    return !has_log && !initial.voters.empty();
}

std::optional<Snapshot> first_snapshot(const PersistentState& state, const Membership& initial) {
    if (!is_first_start(state, initial)) return state.snapshot;
    Snapshot snapshot;
    snapshot.index = first_index;
    snapshot.term = first_term;
    snapshot.membership = initial;
    return snapshot;
}

}  // namespace

Raft::Raft(const Options& options, const PersistentState& state, const Membership& initial,
           std::uint64_t seed, TimePoint now)
    : options_(options),
      self_(state.self),
      life_(options.guards.tell_lives_apart ? std::mt19937_64(seed)() | 1 : 0),
      now_(now),
      timer_(options, seed),
      log_(first_snapshot(state, initial), state.entries),
      writes_(log_.last_index()) {
    // The stored hard state may have an earlier term than the stored entries.
    term_ = std::max(state.hard_state.term, log_.last_term());
    vote_ = term_ == state.hard_state.term ? state.hard_state.vote : 0;
    const Index known_commit = std::max(state.hard_state.commit, log_.snapshot_index());
    commit_ = std::min(known_commit, log_.last_index());
    durable_commit_ = state.hard_state.commit;
    applied_ = log_.snapshot_index();
    if (is_first_start(state, initial)) writes_.snapshot_changed();
    timer_.start(now_);
}

void Raft::tick(TimePoint now) {
    advance_clock(now);
    if (role_ != Role::leader) {
        if (now_ < timer_.deadline()) return;
        if (is_voter() && may_campaign_) {
            start_pre_vote();
        } else {
            timer_.restart(now_);
        }
        return;
    }
    if (now_ < heartbeat_due_) return;
    // Heartbeat rounds for reads do not postpone this: under steady reads the leader would otherwise never
    // run check quorum.
    heartbeat_due_ = now_ + options_.heartbeat_interval;
    check_quorum();
    if (role_ != Role::leader) return;
    maintain_membership();
    continue_transfer();
    resend_snapshot_chunks();
    start_heartbeat_round();
}

TimePoint Raft::next_deadline() const { return role_ == Role::leader ? heartbeat_due_ : timer_.deadline(); }

void Raft::receive(TimePoint now, const Envelope& envelope) {
    advance_clock(now);
    if (envelope.to.id != self_.id) return;
    std::visit([this, &envelope](const auto& message) { on(envelope.from, message); }, envelope.message);
}

void Raft::persisted(TimePoint now, WriteSequence sequence) {
    advance_clock(now);
    writes_.persisted(sequence);
    for (Envelope& envelope : writes_.release()) {
        if (envelope.to.id == self_.id) {
            receive(now_, envelope);
        } else {
            messages_.push_back(std::move(envelope));
        }
    }
    if (role_ == Role::leader) {
        update_commit();
    } else {
        acknowledge();
    }
}

ProposeResult Raft::propose(TimePoint now, std::string payload) {
    advance_clock(now);
    if (role_ != Role::leader) return refused(RefusalReason::not_leader);
    if (transfer_) return refused(RefusalReason::leadership_transfer_pending);
    append(EntryKind::command, std::move(payload), {});
    return Accepted{log_.last_index(), term_};
}

void Raft::compact(Index index, std::string data) {
    const bool possible = index > log_.snapshot_index() && index <= applied_;
    if (!possible) return;
    log_.compact(index, std::move(data));
    writes_.snapshot_changed();
}

Ready Raft::take() {
    if (role_ == Role::leader) {
        const bool reads_wait = read_queue_.needs_heartbeat_round() && has_committed_in_term();
        if (reads_wait) start_heartbeat_round();
        send_appends();
    }
    Ready ready;
    ready.write = collect_write();
    ready.messages = std::exchange(messages_, {});
    ready.restore = std::exchange(restore_, nullptr);
    ready.committed = collect_committed();
    ready.reads = std::exchange(safe_reads_, {});
    ready.failed_reads = std::exchange(failed_reads_, {});
    const RoleChange current{role_, term_, leader_};
    if (current != reported_role_change_) ready.role_change = current;
    reported_role_change_ = current;
    return ready;
}

std::vector<Raft::Peer> Raft::peers(TimePoint now) const {
    std::vector<Peer> peers;
    for (const auto& [id, progress] : progress_) {
        peers.push_back(
            {progress.replica(), progress.match(), progress.time_since_contact(std::max(now, now_))});
    }
    return peers;
}

std::optional<Replica> Raft::leader() const { return leader_; }

void Raft::advance_clock(TimePoint now) { now_ = std::max(now_, now); }

void Raft::send(const Replica& to, Message message) { messages_.push_back({self_, to, std::move(message)}); }

void Raft::hold_until_persisted(const Replica& to, Message message) {
    if (writes_.all_stable() && to.id != self_.id) {
        send(to, std::move(message));
        return;
    }
    writes_.hold({self_, to, std::move(message)});
}

// Becomes a follower in `term`, with the leader not known yet.
void Raft::become_follower(Term term) {
    if (term > term_) set_term(term);
    const bool was_leader = role_ == Role::leader;
    const bool was_follower = role_ == Role::follower;
    role_ = Role::follower;
    leader_.reset();
    votes_.clear();
    if (!was_follower) timer_.restart(now_);
    if (!was_leader) return;
    progress_.clear();
    rounds_.clear();
    transfer_.reset();
    fail_reads();
}

void Raft::set_term(Term term) {
    term_ = term;
    vote_ = 0;
    matched_.reset();
    incoming_snapshot_.reset();
    writes_.drop_held();
    writes_.hard_state_changed();
    term_write_sequence_ = writes_.covering_sequence();
}

void Raft::advance_commit_to(Index index) { commit_ = std::max(commit_, std::min(index, log_.last_index())); }

std::optional<Write> Raft::collect_write() {
    if (!writes_.pending()) return std::nullopt;
    Write write;
    if (writes_.snapshot_pending()) write.snapshot = log_.snapshot();
    if (writes_.entries_from()) {
        const Index from = std::max(*writes_.entries_from(), log_.snapshot_index() + 1);
        write.entries = EntriesWrite{from, log_.range(from, log_.last_index())};
    }
    // Never above the synced index: after a restart other entries could be at those positions.
    durable_commit_ = std::max(durable_commit_, std::min(commit_, writes_.stable_index()));
    write.hard_state = HardState{term_, vote_, durable_commit_};
    write.sequence = writes_.begin_batch(log_.last_index());
    return write;
}

Write Raft::full_state_write() {
    writes_.hard_state_changed();
    writes_.snapshot_changed();
    writes_.entries_changed(log_.snapshot_index() + 1);
    return *collect_write();
}

std::vector<Entry> Raft::collect_committed() {
    std::vector<Entry> committed;
    if (applied_ < commit_) committed = log_.range(applied_ + 1, commit_);
    applied_ = commit_;
    return committed;
}

}  // namespace dewweir::consensus
