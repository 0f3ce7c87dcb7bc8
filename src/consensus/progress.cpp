#include "consensus/progress.h"

#include <algorithm>
#include <utility>

#include "consensus/snapshot_checksum.h"

namespace dewweir::consensus {
namespace {

// A shorter sample lowers the estimate by this fraction (1/8) of the difference.
constexpr int round_trip_decay_divisor = 8;

}  // namespace

Progress::Progress(Replica replica, Index next, TimePoint now)
    : replica_(std::move(replica)), next_(next), last_contact_(now) {}

bool Progress::may_send(std::size_t max_inflight) const {
    switch (state_) {
        case ReplicationState::probe: return !probe_sent_;
        case ReplicationState::replicate: return inflight_.size() < max_inflight;
        case ReplicationState::snapshot: return false;
    }
    return false;
}

void Progress::on_append_sent(Index last, bool empty, TimePoint now) {
    last_sent_ = now;
    if (state_ == ReplicationState::probe) {
        probe_sent_ = true;
        return;
    }
    if (empty) return;
    next_ = last + 1;
    inflight_.push_back(last);
}

void Progress::on_append_accepted(Index synced) {
    match_ = std::max(match_, synced);
    next_ = std::max(next_, match_ + 1);
    while (!inflight_.empty() && inflight_.front() <= match_) inflight_.pop_front();
    const bool snapshot_unfinished = transfer_ && transfer_->snapshot->index > match_;
    if (snapshot_unfinished) return;
    transfer_.reset();
    const bool matches_up_to_next = match_ + 1 >= next_;
    if (state_ == ReplicationState::snapshot || matches_up_to_next) state_ = ReplicationState::replicate;
    probe_sent_ = false;
}

void Progress::on_append_rejected(Index previous_index, Index hint) {
    const bool outdated = previous_index <= match_ || state_ == ReplicationState::snapshot;
    if (outdated) return;
    const bool other_probe = state_ == ReplicationState::probe && previous_index != next_ - 1;
    if (other_probe) return;
    probe_from(std::max(match_ + 1, std::min(previous_index, hint + 1)));
}

void Progress::on_heartbeat_response(const HeartbeatResponse& response, TimePoint now,
                                     microseconds resend_after) {
    acknowledged_round_ = std::max(acknowledged_round_, response.round);
    if (response.synced > match_) on_append_accepted(response.synced);
    // Entries that the follower has in memory are no longer in flight. A follower whose disk hangs therefore
    // keeps receiving entries.
    while (!inflight_.empty() && inflight_.front() <= response.received) inflight_.pop_front();
    if (state_ == ReplicationState::snapshot) return;
    const bool lacks_entries = response.received + 1 < next_;
    if (!lacks_entries) {
        state_ = ReplicationState::replicate;
        return;
    }
    const bool may_be_in_flight = now - last_sent_ < resend_after;
    if (may_be_in_flight) return;
    if (state_ == ReplicationState::probe) {
        probe_sent_ = false;
        return;
    }
    probe_from(std::max(match_, response.received) + 1);
}

void Progress::begin_snapshot(std::shared_ptr<const Snapshot> snapshot) {
    state_ = ReplicationState::snapshot;
    inflight_.clear();
    transfer_ = SnapshotTransfer{};
    transfer_->checksum = snapshot_checksum(snapshot->data);
    transfer_->snapshot = std::move(snapshot);
}

void Progress::add_round_trip_sample(microseconds sample) {
    const microseconds lowered = round_trip_ - (round_trip_ - sample) / round_trip_decay_divisor;
    round_trip_ = std::max(sample, lowered);
}

void Progress::measure_catch_up(Index last_index, TimePoint now, microseconds limit) {
    if (caught_up_) return;
    const bool first_round = catch_up_target_ == 0;
    const bool round_done = !first_round && match_ >= catch_up_target_;
    if (round_done && now - catch_up_started_ < limit) {
        caught_up_ = true;
        return;
    }
    if (!first_round && !round_done) return;
    catch_up_target_ = last_index;
    catch_up_started_ = now;
}

void Progress::probe_from(Index next) {
    state_ = ReplicationState::probe;
    next_ = next;
    probe_sent_ = false;
    inflight_.clear();
}

}  // namespace dewweir::consensus
