// The leader's record of one follower: how far its log matches, which messages are in flight to it, and when
// it was last in contact.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "consensus/messages.h"

namespace dewweir::consensus {

enum class ReplicationState : std::uint8_t {
    probe,      // searching for the last common entry, one append at a time
    replicate,  // appends are pipelined: sent before earlier ones are acknowledged
    snapshot,   // the entries that the follower needs are compacted; it is sent a snapshot
};

// A snapshot that is being sent to a follower.
struct SnapshotTransfer {
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t checksum = 0;  // of the snapshot's data
    std::uint64_t offset = 0;    // bytes that the follower has received
    bool waiting = false;        // for the response to the last chunk
    TimePoint sent_at{};         // of the last chunk
};

class Progress {
  public:
    // The follower counts as in contact at `now`. `next` is the first entry to send.
    Progress(Replica replica, Index next, TimePoint now);

    const Replica& replica() const { return replica_; }
    ReplicationState state() const { return state_; }
    // The follower's log on disk equals the leader's up to here (Raft's matchIndex).
    Index match() const { return match_; }
    // The next entry to send (Raft's nextIndex).
    Index next() const { return next_; }

    // Whether another append may be sent, with at most `max_inflight` of them unacknowledged.
    bool may_send(std::size_t max_inflight) const;
    // An append was sent whose last entry is `last`; for an append without entries, its previous index.
    void on_append_sent(Index last, bool empty, TimePoint now);
    // The follower has everything up to `synced` on disk.
    void on_append_accepted(Index synced);
    // The follower lacks the entry at `previous_index` or has another one there; see AppendResponse::index
    // for `hint`.
    void on_append_rejected(Index previous_index, Index hint);

    // Recovers from messages lost in either direction, if the last append is older than `resend_after`.
    void on_heartbeat_response(const HeartbeatResponse& response, TimePoint now, microseconds resend_after);

    // Changes to ReplicationState::snapshot.
    void begin_snapshot(std::shared_ptr<const Snapshot> snapshot);
    // Requires ReplicationState::snapshot.
    SnapshotTransfer& snapshot_transfer() { return *transfer_; }

    // A message from the follower arrived.
    void record_contact(TimePoint now) { last_contact_ = now; }
    bool contacted_within(microseconds span, TimePoint now) const { return now - last_contact_ < span; }
    microseconds time_since_contact(TimePoint now) const {
        return std::chrono::duration_cast<microseconds>(now - last_contact_);
    }
    void record_leave_request(TimePoint now) { leave_requested_at_ = now; }
    bool has_recent_leave_request(microseconds ttl, TimePoint now) const {
        return leave_requested_at_ && now - *leave_requested_at_ < ttl;
    }
    // The highest heartbeat round that the follower has answered.
    HeartbeatRound acknowledged_round() const { return acknowledged_round_; }

    void add_round_trip_sample(microseconds sample);
    // Estimated round trip: rises to a longer sample immediately, falls gradually.
    microseconds round_trip() const { return round_trip_; }

    // Divides a learner's replication into rounds (thesis 4.2.1): each round replicates the entries that the
    // leader's log held at its start. The learner has caught up once a round took less than `limit`.
    void measure_catch_up(Index last_index, TimePoint now, microseconds limit);
    bool caught_up() const { return caught_up_; }

  private:
    void probe_from(Index next);

    Replica replica_;
    ReplicationState state_ = ReplicationState::probe;
    Index match_ = 0;
    Index next_;
    bool probe_sent_ = false;     // and not answered yet
    std::deque<Index> inflight_;  // last index of each unacknowledged append
    std::optional<SnapshotTransfer> transfer_;
    TimePoint last_contact_;
    std::optional<TimePoint> leave_requested_at_;
    TimePoint last_sent_{};  // of the last append
    HeartbeatRound acknowledged_round_ = 0;
    microseconds round_trip_{0};
    Index catch_up_target_ = 0;  // last index of the current catch-up round; 0 before the first round
    TimePoint catch_up_started_{};
    bool caught_up_ = false;
};

}  // namespace dewweir::consensus
