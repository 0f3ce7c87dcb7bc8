#include "control_plane/raft_log.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <set>

#include "logging/log.h"
#include "settings/endpoint.h"

namespace dewweir::control_plane {
namespace {

using logging::Event;
using logging::Level;

// The log is compacted into a snapshot after this many entries or payload bytes.
constexpr std::size_t entries_per_snapshot = 64;
constexpr std::size_t bytes_per_snapshot = 4u << 20;
constexpr runtime::Time review_interval = 300 * runtime::tenths_per_millisecond;
// A replica without contact to a leader for this long asks to join: it may have been removed from the group
// while it was unreachable.
constexpr runtime::Time leader_timeout_before_join = 3 * runtime::tenths_per_second;
// How often a proof of being in sync is requested.
constexpr runtime::Time freshness_interval = 200 * runtime::tenths_per_millisecond;
constexpr runtime::Time leave_interval = 100 * runtime::tenths_per_millisecond;
// With a write pending for longer the disk counts as stalled and the replica does not stand for election.
constexpr std::chrono::milliseconds slow_write_threshold{1'000};
constexpr int microseconds_per_tenth = 100;  // runtime::Time counts tenths of a millisecond

// The replicas of a bootstrapped group derive each other's ids from their addresses (odd numbers); replicas
// that join later use random ids (even numbers), which can never equal a derived one.
consensus::ReplicaId bootstrap_identity(const std::string& address) {
    return XXH3_64bits(address.data(), address.size()) | 1;
}

consensus::ReplicaId random_identity() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32 | device()) & ~std::uint64_t{1};
}

std::uint64_t random_seed() { return std::random_device{}(); }

}  // namespace

RaftLog::RaftLog(runtime::EventLoop& loop, ConsensusLinks& links, LogObserver& observer,
                 RaftLogOptions options)
    : loop_(loop),
      links_(links),
      observer_(observer),
      options_(std::move(options)),
      disk_(loop, *this, options_.store_directory),
      tick_(loop),
      review_(loop),
      freshness_timer_(loop),
      leave_timer_(loop) {}

RaftLog::~RaftLog() = default;

void RaftLog::start() { disk_.open(); }

// ---- disk ----

void RaftLog::disk_opened(DiskContent content, consensus::PersistentState state) {
    if (content == DiskContent::replica) return start_replica(std::move(state), {});
    const bool seed =
        std::find(options_.seeds.begin(), options_.seeds.end(), options_.address) != options_.seeds.end();
    // Not if a damaged store was discarded: the replica then gets a new id, since it must not act under the
    // old id without what that one acknowledged.
    const bool first_start = options_.bootstrap && seed && content == DiskContent::empty;
    const consensus::ReplicaId id = first_start ? bootstrap_identity(options_.address) : random_identity();
    state.self = {id, options_.address};
    unsaved_identity_ = state.self;
    start_replica(std::move(state), first_start ? bootstrap_membership() : consensus::Membership{});
}

consensus::Membership RaftLog::bootstrap_membership() const {
    consensus::Membership membership;
    for (const std::string& address : options_.seeds)
        membership.voters.push_back({bootstrap_identity(address), address});
    membership.target_voter_count = static_cast<std::uint32_t>(membership.voters.size());
    return membership;
}

void RaftLog::start_replica(consensus::PersistentState state, const consensus::Membership& initial) {
    if (state.snapshot && !restore_state(state.snapshot->data)) return;
    if (state.snapshot) applied_ = state.snapshot->index;
    state.self.address = options_.address;
    raft_ = std::make_unique<consensus::Raft>(consensus::Options{}, std::move(state), initial, random_seed(),
                                              loop_.steady_now());
    observer_.state_changed();
    process_ready();
    if (!raft_) return;  // stopped by process_ready: a snapshot could not be decoded
    review_membership();
    request_freshness_proof();
}

bool RaftLog::restore_state(const std::string& data) {
    if (data.empty() || state_.restore(data)) return true;
    logging::log(Level::error, Event::state_unreadable, {{"bytes", static_cast<std::int64_t>(data.size())}});
    return false;
}

void RaftLog::disk_written(consensus::WriteSequence sequence) {
    if (!raft_) return;
    raft_->persisted(loop_.steady_now(), sequence);
    process_ready();
}

// The replica continues in memory: it follows the leader, but acknowledges nothing that would need the disk.
// A leader steps down.
void RaftLog::disk_failed() {
    if (!raft_) return;
    if (is_leader()) raft_->step_down(loop_.steady_now());
    process_ready();
}

void RaftLog::disk_recovered() {
    if (!raft_) return;
    disk_.write(raft_->full_state_write(), raft_->self());
    process_ready();
}

// ---- replica ----

void RaftLog::message_received(const consensus::Envelope& envelope) {
    if (!raft_) return;
    raft_->receive(loop_.steady_now(), envelope);
    const std::optional<consensus::Replica> leader = raft_->leader();
    if (leader && leader->id == envelope.from.id) leader_last_contact_ = loop_.now();
    process_ready();
}

void RaftLog::schedule_tick() {
    const auto wait =
        std::chrono::duration_cast<std::chrono::microseconds>(raft_->next_deadline() - loop_.steady_now());
    const runtime::Time from_now = std::max<runtime::Time>(1, wait.count() / microseconds_per_tenth);
    tick_.start(from_now, [this] {
        raft_->set_may_campaign(disk_state() == DiskState::writable);
        raft_->tick(loop_.steady_now());
        process_ready();
    });
}

// Carries out the work that the replica hands out until none is left.
void RaftLog::process_ready() {
    if (processing_) return;
    processing_ = true;
    bool changed = false;
    std::optional<consensus::RoleChange> role_change;
    for (bool more = true; more;) {
        consensus::Ready ready = raft_->take();
        more = ready.write || !ready.committed.empty() || ready.restore;
        for (const consensus::Envelope& envelope : ready.messages) links_.send(envelope);
        if (ready.write) disk_.write(*ready.write, std::exchange(unsaved_identity_, std::nullopt));
        if (ready.restore) {
            if (!restore_state(ready.restore->data)) return stop_replica();
            applied_ = ready.restore->index;
            changed = true;
        }
        for (const consensus::Entry& entry : ready.committed) apply(entry);
        changed |= !ready.committed.empty();
        for (const consensus::SafeRead& read : ready.reads) {
            if (reads_.contains(read.token)) safe_reads_[read.token] = read.index;
            freshness_.request_confirmed(read.token, read.index);
        }
        for (const consensus::ReadToken token : ready.failed_reads) {
            const auto found = reads_.extract(token);
            if (found) found.mapped()(ProposalError::unavailable);
        }
        if (ready.role_change) role_change = ready.role_change;
    }
    processing_ = false;
    freshness_.entries_applied(applied_);
    if (changed) observer_.state_changed();
    complete_safe_reads();
    if (role_change) {
        if (role_change->role != consensus::Role::leader) fail_pending();
        logging::log(
            Level::info, Event::leader_changed,
            {{"term", static_cast<std::int64_t>(role_change->term)},
             {"leader", std::string_view(role_change->leader ? role_change->leader->address : "none")}});
        observer_.leadership_changed();
    }
    compact_if_needed();
    schedule_tick();
}

// Ends the replica's part after an undecodable snapshot: without its state it must neither vote nor serve.
void RaftLog::stop_replica() {
    processing_ = false;
    raft_.reset();
    tick_.cancel();
    review_.cancel();
    freshness_timer_.cancel();
    fail_pending();
    for (auto& [token, done] : std::exchange(reads_, {})) done(ProposalError::unavailable);
    observer_.leadership_changed();
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

void RaftLog::complete_safe_reads() {
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

void RaftLog::compact_if_needed() {
    const bool is_due =
        entries_since_snapshot_ >= entries_per_snapshot || bytes_since_snapshot_ >= bytes_per_snapshot;
    if (!is_due) return;
    entries_since_snapshot_ = 0;
    bytes_since_snapshot_ = 0;
    raft_->compact(applied_, state_.snapshot());
}

// ---- membership ----

void RaftLog::review_membership() {
    review_.start(review_interval, [this] { review_membership(); });
    if (is_leader() || leaving_) return;
    const bool member = consensus::is_member(raft_->membership(), raft_->self().id);
    const bool leader_unresponsive = loop_.now() - leader_last_contact_ > leader_timeout_before_join;
    if (!member || leader_unresponsive) request_to_join();
}

// Asks every known control plane; those that do not lead forward the request.
void RaftLog::request_to_join() {
    std::set<std::string> addresses(options_.seeds.begin(), options_.seeds.end());
    for (const consensus::Replica& member : consensus::all_members(raft_->membership()))
        addresses.insert(member.address);
    addresses.erase(options_.address);
    for (const std::string& address : addresses) links_.send_join(address, raft_->self());
}

// Only processes that use the control planes' internal port may join; the membership rules limit their
// number.
bool RaftLog::may_join(const consensus::Replica& replica) const {
    const auto own = settings::parse_endpoint(options_.address);
    const auto joining = settings::parse_endpoint(replica.address);
    return own && joining && replica.id != 0 && own->port == joining->port;
}

void RaftLog::join_requested(const consensus::Replica& replica) {
    if (!raft_ || !may_join(replica)) return;
    if (is_leader()) {
        raft_->propose_membership(loop_.steady_now(), consensus::AddLearner{replica});
        return process_ready();
    }
    // Forwarded only with recent contact to the leader: two followers that each take the other for the leader
    // must not forward the request to and fro.
    const bool leader_responsive = loop_.now() - leader_last_contact_ < leader_timeout_before_join;
    const std::optional<std::string> leader = leader_address();
    if (leader_responsive && leader && *leader != replica.address) links_.send_join(*leader, replica);
}

void RaftLog::start_leaving() {
    leaving_ = true;
    continue_leaving();
}

void RaftLog::continue_leaving() {
    if (!raft_ || raft_->may_leave()) return;
    raft_->prepare_to_leave(loop_.steady_now());
    process_ready();
    leave_timer_.start(leave_interval, [this] { continue_leaving(); });
}

void RaftLog::request_freshness_proof() {
    freshness_timer_.start(freshness_interval, [this] { request_freshness_proof(); });
    const consensus::ReadToken token = ++last_read_;
    freshness_.request_sent(token, loop_.now());
    raft_->read_index_via_leader(loop_.steady_now(), token);
    process_ready();
}

// ---- queries and proposals of the control plane ----

bool RaftLog::is_leader() const { return raft_ && raft_->role() == consensus::Role::leader; }

std::uint64_t RaftLog::term() const { return raft_ ? raft_->term() : 0; }

std::uint64_t RaftLog::commit_index() const { return raft_ ? raft_->commit_index() : 0; }

std::optional<runtime::Time> RaftLog::staleness() const {
    const auto since = raft_ ? freshness_.in_sync_at() : std::nullopt;
    if (!since) return std::nullopt;
    return loop_.now() - *since;
}

DiskState RaftLog::disk_state() const {
    if (disk_.has_failed()) return DiskState::failed;
    return disk_.oldest_wait() > slow_write_threshold ? DiskState::stalled : DiskState::writable;
}

std::vector<MemberStatus> RaftLog::members() const {
    if (!raft_) return {};
    std::map<consensus::ReplicaId, consensus::Raft::Peer> peers;
    for (const consensus::Raft::Peer& peer : raft_->peers(loop_.steady_now())) peers[peer.replica.id] = peer;
    const consensus::Membership& membership = raft_->membership();
    std::vector<MemberStatus> members;
    for (const consensus::Replica& replica : consensus::all_members(membership)) {
        MemberStatus status;
        status.address = replica.address;
        if (consensus::find_learner(membership, replica.id)) {
            status.role = MemberRole::learner;
        } else if (!consensus::find_voter(membership, replica.id)) {
            status.role = MemberRole::outgoing;
        }
        const auto peer = peers.find(replica.id);
        if (peer != peers.end()) {
            const consensus::Index last = raft_->log().last_index();
            status.lag_entries = last - std::min(last, peer->second.match);
            status.since_last_contact = peer->second.time_since_contact.count() / microseconds_per_tenth;
        } else if (is_leader()) {
            status.lag_entries = 0;
        }
        members.push_back(std::move(status));
    }
    return members;
}

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
    process_ready();
}

void RaftLog::read_barrier(std::function<void(ProposalError)> done) {
    if (!raft_) return done(ProposalError::not_leader);
    const consensus::ReadToken token = ++last_read_;
    if (raft_->read_index(loop_.steady_now(), token)) return done(ProposalError::not_leader);
    reads_[token] = std::move(done);
    process_ready();
}

}  // namespace dewweir::control_plane
