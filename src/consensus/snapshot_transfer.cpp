// Snapshots for followers whose next entries are compacted (thesis 5.1). They are sent in chunks, one chunk
// in flight at a time.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"
#include "consensus/snapshot_checksum.h"

namespace dewweir::consensus {
namespace {

// A chunk without a response for this many round trips counts as lost.
constexpr int resend_round_trips = 2;

}  // namespace

void Raft::send_snapshot_chunk(Progress& progress) {
    SnapshotTransfer& transfer = progress.snapshot_transfer();
    const Snapshot& snapshot = *transfer.snapshot;
    SnapshotChunk chunk;
    chunk.term = term_;
    chunk.index = snapshot.index;
    chunk.snapshot_term = snapshot.term;
    chunk.membership = snapshot.membership;
    chunk.offset = transfer.offset;
    chunk.data = snapshot.data.substr(transfer.offset, options_.max_snapshot_chunk_bytes);
    chunk.checksum = transfer.checksum;
    chunk.last = transfer.offset + chunk.data.size() == snapshot.data.size();
    transfer.waiting = true;
    transfer.sent_at = now_;
    send(progress.replica(), std::move(chunk));
}

void Raft::resend_snapshot_chunks() {
    for (auto& [id, progress] : progress_) {
        if (progress.state() != ReplicationState::snapshot) continue;
        const microseconds interval = options_.heartbeat_interval;
        const microseconds resend_after = std::max(interval, progress.round_trip() * resend_round_trips);
        if (now_ - progress.snapshot_transfer().sent_at >= resend_after) send_snapshot_chunk(progress);
    }
}

void Raft::on(const Replica& from, const SnapshotChunkResponse& response) {
    Progress* progress = progress_of(from, response.term);
    if (!progress || progress->state() != ReplicationState::snapshot) return;
    SnapshotTransfer& transfer = progress->snapshot_transfer();
    const Snapshot& snapshot = *transfer.snapshot;
    const bool current = response.index == snapshot.index && response.received_bytes <= snapshot.data.size();
    const bool repeated = response.received_bytes == transfer.offset;
    if (!current || repeated) return;
    transfer.offset = response.received_bytes;
    const bool complete = transfer.offset == snapshot.data.size();
    if (!complete) send_snapshot_chunk(*progress);
}

void Raft::on(const Replica& from, const SnapshotChunk& chunk) {
    if (!accept_leader(from, chunk.term)) return;
    const bool covered = chunk.index <= commit_;
    if (covered) {
        matched_ = std::max(matched_.value_or(0), chunk.index);
        acknowledge();
        return;
    }
    const IncomingSnapshot described{chunk.snapshot_term, chunk.index, chunk.checksum, {}};
    const bool same = incoming_snapshot_ && incoming_snapshot_->is_same_snapshot(described);
    if (!same) incoming_snapshot_ = described;
    std::string& data = incoming_snapshot_->data;
    const bool next = chunk.offset == data.size();
    if (next) data += chunk.data;
    const bool complete = next && chunk.last;
    // Chunks that do not add up to the leader's snapshot are discarded. The response then reports 0 bytes,
    // and the leader starts again.
    const bool intact = !complete || snapshot_checksum(data) == chunk.checksum;
    if (!intact) data.clear();
    send(from, SnapshotChunkResponse{term_, chunk.index, data.size()});
    if (complete && intact) install(chunk, std::move(data));
}

void Raft::install(const SnapshotChunk& description, std::string data) {
    incoming_snapshot_.reset();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = description.index;
    snapshot->term = description.snapshot_term;
    snapshot->membership = description.membership;
    snapshot->data = std::move(data);
    const Index index = snapshot->index;
    restore_ = snapshot;
    const bool kept_entries = log_.restore(std::move(snapshot));
    if (!kept_entries) writes_.log_replaced(index + 1);
    writes_.snapshot_changed();
    commit_ = index;
    applied_ = index;
    matched_ = std::max(matched_.value_or(0), index);
}

}  // namespace dewweir::consensus
