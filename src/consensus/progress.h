// What a leader knows of one follower: how far its log agrees, what is on the way to it, when it was heard.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "consensus/messages.h"

namespace dewweir::consensus {

enum class ReplicationState : std::uint8_t {
    probe,      // looking for the last common entry; one message at a time
    replicate,  // appends are sent ahead of their acknowledgements
    snapshot,   // the entries it needs are compacted; it is sent a snapshot
};

struct SnapshotTransfer {
    std::shared_ptr<const Snapshot> snapshot;
    std::uint64_t checksum = 0;
    std::uint64_t offset = 0;  // bytes the follower has
    bool waiting = false;      // for an answer to the last chunk
    TimePoint sent_at{};
};

class Progress {
  public:
    Progress(Replica replica, Index next, TimePoint now);

    const Replica& replica() const { return replica_; }
    ReplicationState state() const { return state_; }
    Index match() const { return match_; }  // synced there
    Index next() const { return next_; }

    bool may_send(std::size_t max_inflight) const;
    // An append that ends with `last` (previous index for an empty one) was sent.
    void sent(Index last, bool empty, TimePoint now);
    void accepted(Index synced);
    void rejected(Index previous_index, Index hint);

    // A heartbeat's answer: repairs what was lost in either direction, for messages older than
    // `resend_after`.
    void heartbeat_answered(const HeartbeatResponse& response, TimePoint now, microseconds resend_after);

    void begin_snapshot(std::shared_ptr<const Snapshot> snapshot);
    SnapshotTransfer& transfer() { return *transfer_; }

    void heard(TimePoint now) { last_heard_ = now; }
    bool heard_within(microseconds span, TimePoint now) const { return now - last_heard_ < span; }
    microseconds silence(TimePoint now) const {
        return std::chrono::duration_cast<microseconds>(now - last_heard_);
    }
    void asked_to_leave(TimePoint now) { asked_to_leave_at_ = now; }
    bool leaving(microseconds holds, TimePoint now) const {
        return asked_to_leave_at_ && now - *asked_to_leave_at_ < holds;
    }
    HeartbeatRound answered_round() const { return answered_round_; }

    void add_round_trip(microseconds sample);
    microseconds round_trip() const { return round_trip_; }

    // Counts a learner's rounds of catching up (thesis 4.2.1): it has caught up once what the leader's log
    // held at the start of a round came over in less than `limit`.
    void measure_catch_up(Index last_index, TimePoint now, microseconds limit);
    bool caught_up() const { return caught_up_; }

  private:
    void probe_from(Index next);

    Replica replica_;
    ReplicationState state_ = ReplicationState::probe;
    Index match_ = 0;
    Index next_;
    bool probe_sent_ = false;
    std::deque<Index> inflight_;  // last indexes of appends
    std::optional<SnapshotTransfer> transfer_;
    TimePoint last_heard_;
    std::optional<TimePoint> asked_to_leave_at_;
    TimePoint last_sent_{};
    HeartbeatRound answered_round_ = 0;
    microseconds round_trip_{0};
    Index catch_up_target_ = 0;
    TimePoint catch_up_started_{};
    bool caught_up_ = false;
};

}  // namespace dewweir::consensus
