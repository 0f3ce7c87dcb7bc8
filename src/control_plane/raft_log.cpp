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

// After so many entries, or bytes of them, the log is replaced by a snapshot.
constexpr std::size_t entries_per_snapshot = 64;
constexpr std::size_t bytes_per_snapshot = 4u << 20;
constexpr runtime::Time review_interval = 300 * runtime::tenths_per_millisecond;
// A replica that has heard no leader for so long asks to be taken in: it may have been removed while it was
// away.
constexpr runtime::Time silence_before_join = 3 * runtime::tenths_per_second;
// Proof of being in step is asked for so often.
constexpr runtime::Time freshness_interval = 200 * runtime::tenths_per_millisecond;
constexpr runtime::Time leave_interval = 100 * runtime::tenths_per_millisecond;
// A disk on which a write waits for longer is not counted on for an election.
constexpr std::chrono::milliseconds longest_usual_write{1'000};
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
      disk_(loop, *this, options_.folder),
      tick_(loop),
      review_(loop),
      freshness_timer_(loop),
      leave_timer_(loop) {}

RaftLog::~RaftLog() = default;

void RaftLog::start() { disk_.open(); }

// ---- the disk ----

void RaftLog::disk_opened(DiskContent content, consensus::PersistentState state) {
    if (content == DiskContent::replica) return begin(std::move(state), {});
    const bool seed =
        std::find(options_.seeds.begin(), options_.seeds.end(), options_.address) != options_.seeds.end();
    // Never with a disk that has held another life: a new replica begins, and never speaks for the old one.
    const bool first_start = options_.bootstrap && seed && content == DiskContent::empty;
    const consensus::ReplicaId id = first_start ? first_identity(options_.address) : drawn_identity();
    state.self = {id, options_.address};
    store_self_ = state.self;
    begin(std::move(state), first_start ? first_membership() : consensus::Membership{});
}

consensus::Membership RaftLog::first_membership() const {
    consensus::Membership membership;
    for (const std::string& address : options_.seeds)
        membership.voters.push_back({first_identity(address), address});
    membership.wanted_voters = static_cast<std::uint32_t>(membership.voters.size());
    return membership;
}

void RaftLog::begin(consensus::PersistentState state, const consensus::Membership& initial) {
    if (state.snapshot && !restore(state.snapshot->data)) return;
    if (state.snapshot) applied_ = state.snapshot->index;
    state.self.address = options_.address;
    raft_ = std::make_unique<consensus::Raft>(consensus::Options{}, std::move(state), initial, drawn_seed(),
                                              loop_.steady_now());
    user_.state_changed();
    process();
    if (!raft_) return;  // its part has ended
    review_membership();
    ask_for_freshness();
}

bool RaftLog::restore(const std::string& data) {
    if (data.empty() || state_.restore(data)) return true;
    logging::log(Level::error, Event::state_unreadable, {{"bytes", static_cast<std::int64_t>(data.size())}});
    return false;
}

void RaftLog::disk_written(consensus::WriteSequence sequence) {
    if (!raft_) return;
    raft_->persisted(loop_.steady_now(), sequence);
    process();
}

// The replica goes on in memory: it follows, but promises nothing that waits for the disk. Another leads.
void RaftLog::disk_refused() {
    if (!raft_) return;
    if (leads()) raft_->step_down(loop_.steady_now());
    process();
}

void RaftLog::disk_recovered() {
    if (!raft_) return;
    disk_.write(raft_->full_state_write(), raft_->self());
    process();
}

// ---- the replica's work ----

void RaftLog::received(const consensus::Envelope& envelope) {
    if (!raft_) return;
    raft_->receive(loop_.steady_now(), envelope);
    const std::optional<consensus::Replica> leader = raft_->leader();
    if (leader && leader->id == envelope.from.id) leader_heard_at_ = loop_.now();
    process();
}

void RaftLog::schedule() {
    const auto wait =
        std::chrono::duration_cast<std::chrono::microseconds>(raft_->next_deadline() - loop_.steady_now());
    const runtime::Time from_now = std::max<runtime::Time>(1, wait.count() / tenths_in_microseconds);
    tick_.start(from_now, [this] {
        raft_->set_may_campaign(disk_state() == DiskState::takes_writes);
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
        if (ready.write) disk_.write(*ready.write, std::exchange(store_self_, std::nullopt));
        if (ready.restore) {
            if (!restore(ready.restore->data)) return end_part();
            applied_ = ready.restore->index;
            changed = true;
        }
        for (const consensus::Entry& entry : ready.committed) apply(entry);
        changed |= !ready.committed.empty();
        for (const consensus::SafeRead& read : ready.reads) {
            if (reads_.contains(read.token)) safe_reads_[read.token] = read.index;
            freshness_.answered(read.token, read.index);
        }
        for (const consensus::ReadToken token : ready.failed_reads) {
            const auto found = reads_.extract(token);
            if (found) found.mapped()(ProposalError::unavailable);
        }
        if (ready.role_change) role_change = ready.role_change;
    }
    processing_ = false;
    freshness_.applied(applied_);
    if (changed) user_.state_changed();
    reads_passed();
    if (role_change) {
        if (role_change->role != consensus::Role::leader) fail_pending();
        logging::log(
            Level::info, Event::leader_changed,
            {{"term", static_cast<std::int64_t>(role_change->term)},
             {"leader", std::string_view(role_change->leader ? role_change->leader->address : "none")}});
        user_.leadership_changed();
    }
    compact_if_long();
    schedule();
}

// Without a state that can be read this replica neither votes nor serves.
void RaftLog::end_part() {
    processing_ = false;
    raft_.reset();
    tick_.cancel();
    review_.cancel();
    freshness_timer_.cancel();
    fail_pending();
    for (auto& [token, done] : std::exchange(reads_, {})) done(ProposalError::unavailable);
    user_.leadership_changed();
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

void RaftLog::review_membership() {
    review_.start(review_interval, [this] { review_membership(); });
    if (leads() || leaving_) return;
    const bool member = consensus::is_member(raft_->membership(), raft_->self().id);
    const bool unheard = loop_.now() - leader_heard_at_ > silence_before_join;
    if (!member || unheard) ask_to_join();
}

// Every control plane that is known is asked; who does not lead passes it on.
void RaftLog::ask_to_join() {
    std::set<std::string> addresses(options_.seeds.begin(), options_.seeds.end());
    for (const consensus::Replica& member : consensus::all_members(raft_->membership()))
        addresses.insert(member.address);
    addresses.erase(options_.address);
    for (const std::string& address : addresses) links_.send_join(address, raft_->self());
}

// Only processes that stand where control planes do are taken in; how many, the membership bounds.
bool RaftLog::may_join(const consensus::Replica& replica) const {
    const auto own = settings::parse_endpoint(options_.address);
    const auto asker = settings::parse_endpoint(replica.address);
    return own && asker && replica.id != 0 && own->port == asker->port;
}

void RaftLog::joining(const consensus::Replica& replica) {
    if (!raft_ || !may_join(replica)) return;
    if (leads()) {
        raft_->propose_membership(loop_.steady_now(), consensus::AddLearner{replica});
        return process();
    }
    // Two that take each other for the leader must not pass it to and fro.
    const bool heard = loop_.now() - leader_heard_at_ < silence_before_join;
    const std::optional<std::string> leader = leader_address();
    if (heard && leader && *leader != replica.address) links_.send_join(*leader, replica);
}

void RaftLog::leave() {
    leaving_ = true;
    go_on_leaving();
}

void RaftLog::go_on_leaving() {
    if (!raft_ || raft_->may_leave()) return;
    raft_->prepare_to_leave(loop_.steady_now());
    process();
    leave_timer_.start(leave_interval, [this] { go_on_leaving(); });
}

void RaftLog::ask_for_freshness() {
    freshness_timer_.start(freshness_interval, [this] { ask_for_freshness(); });
    const consensus::ReadToken token = ++last_read_;
    freshness_.asked(token, loop_.now());
    raft_->read_index_via_leader(loop_.steady_now(), token);
    process();
}

// ---- what the control plane asks ----

bool RaftLog::leads() const { return raft_ && raft_->role() == consensus::Role::leader; }

std::uint64_t RaftLog::term() const { return raft_ ? raft_->term() : 0; }

std::uint64_t RaftLog::commit_index() const { return raft_ ? raft_->commit_index() : 0; }

std::optional<runtime::Time> RaftLog::staleness() const {
    const auto since = raft_ ? freshness_.in_step_at() : std::nullopt;
    if (!since) return std::nullopt;
    return loop_.now() - *since;
}

DiskState RaftLog::disk_state() const {
    if (disk_.refuses()) return DiskState::refuses;
    return disk_.oldest_wait() > longest_usual_write ? DiskState::hangs : DiskState::takes_writes;
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
            status.part = MemberPart::learner;
        } else if (!consensus::find_voter(membership, replica.id)) {
            status.part = MemberPart::outgoing;
        }
        const auto peer = peers.find(replica.id);
        if (peer != peers.end()) {
            const consensus::Index last = raft_->log().last_index();
            status.behind = last - std::min(last, peer->second.match);
            status.silence = peer->second.time_since_contact.count() / tenths_in_microseconds;
        } else if (leads()) {
            status.behind = 0;
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
