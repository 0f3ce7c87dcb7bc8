#include "control_plane/raft_log.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <set>

#include "logging/log.h"

namespace dewweir::control_plane {
namespace {

using logging::Event;
using logging::Level;

// After so many entries, or bytes of them, the log is replaced by a snapshot.
constexpr std::size_t entries_per_snapshot = 64;
constexpr std::size_t bytes_per_snapshot = 4u << 20;
constexpr runtime::Time review_interval = 300 * runtime::tenths_per_millisecond;
// A replica that has heard no leader for so long asks to be taken in: it may have been removed while it was
// away.
constexpr runtime::Time silence_before_join = 3 * runtime::tenths_per_second;
// A voter beyond the first number of voters that says nothing for so long has been replaced, and is removed.
constexpr runtime::Time silence_before_removal = 3 * runtime::tenths_per_second;
constexpr int tenths_in_microseconds = 100;

// Replicas of a group's first start know each other's identity from their addresses; all later ones draw
// theirs.
consensus::ReplicaId first_identity(const std::string& address) {
    return XXH3_64bits(address.data(), address.size()) | 1;
}

consensus::ReplicaId drawn_identity() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) & ~std::uint64_t{1};
}

std::uint64_t drawn_seed() { return std::random_device{}(); }

}  // namespace

RaftLog::RaftLog(runtime::EventLoop& loop, ConsensusLinks& links, LogUser& user, RaftLogOptions options)
    : loop_(loop),
      links_(links),
      user_(user),
      options_(std::move(options)),
      mailbox_(loop),
      store_(std::make_shared<storage::ReplicaStore>()),
      tick_(loop),
      review_(loop) {
    writer_ = std::make_unique<storage::DiskWriter>(
        store_, [this](std::function<void()> call) { mailbox_.post(std::move(call)); },
        [this](const storage::WriteCompletion& completion) { written(completion); });
}

RaftLog::~RaftLog() = default;

void RaftLog::start() {
    writer_->open(
        options_.folder, [this](storage::OpenResult result) { opened(std::move(result)); },
        loop_.steady_now());
}

void RaftLog::opened(storage::OpenResult result) {
    if (auto* const state = std::get_if<consensus::PersistentState>(&result)) {
        return begin(std::move(*state), {}, false);
    }
    const auto& none = std::get<storage::NoState>(result);
    if (none.reason != storage::NoStateReason::empty) {
        logging::log(Level::error, Event::storage_failed,
                     {{"where", std::string_view(none.where)}, {"what", std::string_view(none.what)}});
        // What was acknowledged here may be gone: a new replica begins, and never speaks for the old one.
        store_->discard_all();
        return begin(new_replica(), {}, true);
    }
    const bool seed =
        std::find(options_.seeds.begin(), options_.seeds.end(), options_.address) != options_.seeds.end();
    if (!options_.bootstrap || !seed) return begin(new_replica(), {}, true);
    consensus::Membership initial;
    for (const std::string& address : options_.seeds)
        initial.voters.push_back({first_identity(address), address});
    consensus::PersistentState state;
    state.self = {first_identity(options_.address), options_.address};
    begin(std::move(state), initial, true);
}

consensus::PersistentState RaftLog::new_replica() const {
    consensus::PersistentState state;
    state.self = {drawn_identity(), options_.address};
    return state;
}

void RaftLog::begin(consensus::PersistentState state, const consensus::Membership& initial, bool store_self) {
    if (store_self) store_self_ = state.self;
    if (state.snapshot && !state.snapshot->data.empty()) state_.restore(state.snapshot->data);
    state.self.address = options_.address;
    raft_ = std::make_unique<consensus::Raft>(consensus::Options{}, std::move(state), initial, drawn_seed(),
                                              loop_.steady_now());
    if (applied_ == 0) user_.state_changed();
    process();
    review_membership();
}

// ---- the replica's work ----

void RaftLog::received(const consensus::Envelope& envelope) {
    if (!raft_) return;
    raft_->receive(loop_.steady_now(), envelope);
    heard_at_[envelope.from.id] = loop_.now();
    const std::optional<consensus::Replica> leader = raft_->leader();
    if (leader && leader->id == envelope.from.id) leader_heard_at_ = loop_.now();
    process();
}

void RaftLog::schedule() {
    const auto wait =
        std::chrono::duration_cast<std::chrono::microseconds>(raft_->next_deadline() - loop_.steady_now());
    const runtime::Time from_now = std::max<runtime::Time>(1, wait.count() / tenths_in_microseconds);
    tick_.start(from_now, [this] {
        raft_->tick(loop_.steady_now());
        process();
    });
}

// Carries out what the replica has to do until there is nothing more.
void RaftLog::process() {
    if (processing_) return;
    processing_ = true;
    bool changed = false;
    std::optional<consensus::RoleChange> role_change;
    for (bool more = true; more;) {
        consensus::Ready ready = raft_->take();
        more = ready.write || !ready.committed.empty() || ready.restore;
        for (const consensus::Envelope& envelope : ready.messages) links_.send(envelope);
        if (ready.write) write(*ready.write);
        if (ready.restore) {
            state_.restore(ready.restore->data);
            applied_ = ready.restore->index;
            changed = true;
        }
        for (const consensus::Entry& entry : ready.committed) apply(entry);
        changed |= !ready.committed.empty();
        for (const consensus::SafeRead& read : ready.reads) safe_reads_[read.token] = read.index;
        for (const consensus::ReadToken token : ready.failed_reads) {
            const auto found = reads_.extract(token);
            if (found) found.mapped()(ProposalError::unavailable);
        }
        if (ready.role_change) role_change = ready.role_change;
    }
    processing_ = false;
    if (changed) user_.state_changed();
    reads_passed();
    if (role_change) {
        if (role_change->role != consensus::Role::leader) fail_pending();
        if (role_change->role == consensus::Role::leader) leads_since_ = loop_.now();
        logging::log(
            Level::info, Event::leader_changed,
            {{"term", static_cast<std::int64_t>(role_change->term)},
             {"leader", std::string_view(role_change->leader ? role_change->leader->address : "none")}});
        user_.leadership_changed();
    }
    compact_if_long();
    schedule();
}

void RaftLog::write(const consensus::Write& write) {
    storage::WriteBatch batch;
    batch.self = std::exchange(store_self_, std::nullopt);
    batch.hard_state = write.hard_state;
    if (write.snapshot) batch.snapshot = *write.snapshot;
    if (write.entries) {
        batch.truncate_from = write.entries->from;
        batch.append = write.entries->entries;
    }
    writer_->submit(std::move(batch), write.sequence, loop_.steady_now());
}

void RaftLog::written(const storage::WriteCompletion& completion) {
    if (!raft_) return;
    if (!completion.result) {
        raft_->persisted(loop_.steady_now(), completion.token);
        return process();
    }
    // The disk refused. What it holds is read anew by a fresh start of the process; until then nothing is
    // promised.
    logging::log(Level::error, Event::storage_failed, {{"what", std::string_view(completion.result->what)}});
    loop_.stop();
}

void RaftLog::apply(const consensus::Entry& entry) {
    applied_ = entry.index;
    ++entries_since_snapshot_;
    bytes_since_snapshot_ += entry.payload.size();
    control::Outcome outcome = control::Outcome::accepted;
    if (entry.kind == consensus::EntryKind::command) {
        const std::optional<control::Command> command = control::decode_command(entry.payload);
        if (command) outcome = state_.apply(entry.index, *command);
    }
    const auto found = pending_.extract(entry.index);
    if (!found) return;
    const bool ours = found.mapped().term == entry.term;
    found.mapped().done({ours ? ProposalError::none : ProposalError::unavailable, outcome});
}

void RaftLog::fail_pending() {
    for (auto& [index, pending] : std::exchange(pending_, {})) pending.done({ProposalError::unavailable});
}

void RaftLog::reads_passed() {
    for (auto at = safe_reads_.begin(); at != safe_reads_.end();) {
        if (at->second > applied_) {
            ++at;
            continue;
        }
        const auto found = reads_.extract(at->first);
        at = safe_reads_.erase(at);
        if (found) found.mapped()(ProposalError::none);
    }
}

void RaftLog::compact_if_long() {
    const bool is_long =
        entries_since_snapshot_ >= entries_per_snapshot || bytes_since_snapshot_ >= bytes_per_snapshot;
    if (!is_long) return;
    entries_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
    raft_->compact(applied_, state_.snapshot());
}

// ---- membership ----

bool RaftLog::is_member() const {
    const consensus::Membership& membership = raft_->membership();
    const consensus::ReplicaId self = raft_->self().id;
    return consensus::find_voter(membership, self) || consensus::find_learner(membership, self);
}

void RaftLog::review_membership() {
    review_.start(review_interval, [this] { review_membership(); });
    if (leads()) return remove_dead_voter();
    if (!is_member() || leader_silence() > silence_before_join) ask_to_join();
}

// Every control plane that is known is asked; who does not lead passes it on.
void RaftLog::ask_to_join() {
    std::set<std::string> addresses(options_.seeds.begin(), options_.seeds.end());
    for (const consensus::Replica& voter : raft_->membership().voters) addresses.insert(voter.address);
    addresses.erase(options_.address);
    for (const std::string& address : addresses) links_.send_join(address, raft_->self());
}

// A machine that is gone for good leaves a voter behind once its substitute votes. With it a majority is
// needlessly large.
void RaftLog::remove_dead_voter() {
    const std::vector<consensus::Replica>& voters = raft_->membership().voters;
    if (voters.size() <= options_.seeds.size()) return;
    if (loop_.now() - leads_since_ < silence_before_removal) return;
    for (const consensus::Replica& voter : voters) {
        const auto heard = heard_at_.find(voter.id);
        const bool silent = heard == heard_at_.end() || loop_.now() - heard->second > silence_before_removal;
        if (voter.id == raft_->self().id || !silent) continue;
        raft_->propose_membership(loop_.steady_now(), consensus::RemoveReplica{voter.id});
        return process();
    }
}

void RaftLog::joining(const consensus::Replica& replica) {
    if (!raft_) return;
    if (leads()) {
        raft_->propose_membership(loop_.steady_now(), consensus::AddLearner{replica});
        return process();
    }
    const std::optional<std::string> leader = leader_address();
    if (leader && *leader != replica.address) links_.send_join(*leader, replica);
}

void RaftLog::leave() {
    if (!raft_ || !leads()) return;
    raft_->step_down(loop_.steady_now());
    process();
}

// ---- what the control plane asks ----

bool RaftLog::leads() const { return raft_ && raft_->role() == consensus::Role::leader; }

std::uint64_t RaftLog::term() const { return raft_ ? raft_->term() : 0; }

std::uint64_t RaftLog::commit_index() const { return raft_ ? raft_->commit_index() : 0; }

runtime::Time RaftLog::leader_silence() const { return leads() ? 0 : loop_.now() - leader_heard_at_; }

std::optional<std::string> RaftLog::leader_address() const {
    if (!raft_ || !raft_->leader()) return std::nullopt;
    return raft_->leader()->address;
}

void RaftLog::propose(const control::Command& command, std::function<void(const ProposalResult&)> done) {
    if (!raft_) return done({ProposalError::not_leader});
    const consensus::ProposeResult result =
        raft_->propose(loop_.steady_now(), control::encode_command(command));
    const auto* const accepted = std::get_if<consensus::Accepted>(&result);
    if (!accepted) return done({ProposalError::not_leader});
    pending_[accepted->index] = {accepted->term, std::move(done)};
    process();
}

void RaftLog::read_barrier(std::function<void(ProposalError)> done) {
    if (!raft_) return done(ProposalError::not_leader);
    const consensus::ReadToken token = ++last_read_;
    if (raft_->read_index(loop_.steady_now(), token)) return done(ProposalError::not_leader);
    reads_[token] = std::move(done);
    process();
}

}  // namespace dewweir::control_plane
