// The messages between replicas: plain data. Each carries the sender's term.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "consensus/options.h"
#include "consensus/types.h"

namespace dewweir::consensus {

using HeartbeatRound = std::uint64_t;  // counts a leader's heartbeats within its term, from 1

// Would you vote for me in `campaign_term`? Changes nothing at either side (thesis 9.6).
struct PreVoteRequest {
    Term term = 0;
    Term campaign_term = 0;
    Index last_index = 0;
    Term last_term = 0;
};

struct PreVoteResponse {
    Term term = 0;
    Term campaign_term = 0;  // as asked
    bool granted = false;
};

// Thesis 3.4.
struct VoteRequest {
    Term term = 0;
    Index last_index = 0;
    Term last_term = 0;
    bool leadership_transfer = false;  // the leader asked for this election (thesis 3.10)
};

struct VoteResponse {
    Term term = 0;
    bool granted = false;
};

// Thesis 3.5.
struct AppendRequest {
    Term term = 0;
    Index previous_index = 0;
    Term previous_term = 0;
    Index commit = 0;
    std::vector<Entry> entries;
};

struct AppendResponse {
    Term term = 0;
    bool accepted = false;
    Index index = 0;  // accepted: synced and equal to the leader's up to here; else: try after this one
    Index previous_index = 0;  // of the refused request
};

// Keeps followers from elections, confirms reads and carries the commit index; never waits for a disk.
struct HeartbeatRequest {
    Term term = 0;
    HeartbeatRound round = 0;
    Index commit = 0;                   // no more than what this follower has acknowledged
    microseconds widest_round_trip{0};  // between the leader and any live follower
};

struct HeartbeatResponse {
    Term term = 0;
    HeartbeatRound round = 0;
    Index received = 0;  // equal to the leader's log up to here, in memory
    Index synced = 0;    // the same, on disk
};

// One part of a snapshot (thesis 5.1, 5.3).
struct SnapshotChunk {
    Term term = 0;
    Index index = 0;
    Term snapshot_term = 0;
    Membership membership;
    std::uint64_t offset = 0;  // bytes before this part
    std::string data;
    bool last = false;
    std::uint64_t checksum = 0;  // of the whole snapshot's data (snapshot_checksum)
};

struct SnapshotChunkResponse {
    Term term = 0;
    Index index = 0;
    std::uint64_t received_bytes = 0;  // from the start, without gaps
};

// Start an election at once (thesis 3.10).
struct TimeoutNow {
    Term term = 0;
};

// A follower asks up to where everything is that was acknowledged before this request (thesis 6.4: reads at
// followers). What it holds is in step with a majority once it has applied the index of the answer.
struct ReadIndexRequest {
    Term term = 0;
    std::uint64_t token = 0;  // the follower's name of the read
};

struct ReadIndexResponse {
    Term term = 0;
    std::uint64_t token = 0;
    Index index = 0;
};

// A replica that is to end asks whether the group does without it.
struct LeaveRequest {
    Term term = 0;
};

struct LeaveResponse {
    Term term = 0;
    bool may_go = false;  // a majority without it holds everything, and no substitute waits for its place
};

using Message =
    std::variant<PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 HeartbeatRequest, HeartbeatResponse, SnapshotChunk, SnapshotChunkResponse, TimeoutNow,
                 ReadIndexRequest, ReadIndexResponse, LeaveRequest, LeaveResponse>;

// A message on its way. A replica takes only what is sent to its own id, so that a new replica at the address
// of an old one never answers for it.
struct Envelope {
    Replica from;
    Replica to;
    Message message;
};

}  // namespace dewweir::consensus
