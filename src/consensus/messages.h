// Messages between replicas: plain data without behaviour. `term` is always the sender's current term.
//
// The order of the fields and the order of the types in Message are part of the wire format.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "consensus/options.h"
#include "consensus/types.h"

namespace dewweir::consensus {

// Number of a leader's heartbeat round within its term, counted from 1.
using HeartbeatRound = std::uint64_t;

// Asks whether the receiver would vote for the sender in `campaign_term`. Changes no state on either side
// (pre-vote, thesis 9.6).
struct PreVoteRequest {
    Term term = 0;
    Term campaign_term = 0;
    Index last_index = 0;  // of the sender's log
    Term last_term = 0;    // of the sender's log
};

struct PreVoteResponse {
    Term term = 0;
    Term campaign_term = 0;  // copied from the request
    bool granted = false;
};

// A candidate requests a vote (thesis 3.4).
struct VoteRequest {
    Term term = 0;
    Index last_index = 0;
    Term last_term = 0;
    bool leadership_transfer = false;  // the current leader requested this election (thesis 3.10)
};

struct VoteResponse {
    Term term = 0;
    bool granted = false;
};

// The leader sends log entries (thesis 3.5).
struct AppendRequest {
    Term term = 0;
    Index previous_index = 0;  // the entry that precedes `entries`
    Term previous_term = 0;
    Index commit = 0;
    std::vector<Entry> entries;
};

struct AppendResponse {
    Term term = 0;
    bool accepted = false;
    // Accepted: the follower's log equals the leader's up to here and is synced. Rejected: a hint, the leader
    // retries with the entries after this index.
    Index index = 0;
    Index previous_index = 0;  // copied from a rejected request
};

// Prevents elections, confirms reads and carries the commit index. Never waits for a disk.
struct HeartbeatRequest {
    Term term = 0;
    HeartbeatRound round = 0;
    Index commit = 0;                // at most the index that this follower has acknowledged
    microseconds max_round_trip{0};  // longest between the leader and any live follower
};

struct HeartbeatResponse {
    Term term = 0;
    HeartbeatRound round = 0;
    Index received = 0;  // the follower's log in memory equals the leader's up to here
    Index synced = 0;    // the same for the follower's log on disk
};

// One chunk of a snapshot (thesis 5.1, 5.3).
struct SnapshotChunk {
    Term term = 0;
    Index index = 0;         // of the snapshot
    Term snapshot_term = 0;  // of the snapshot
    Membership membership;
    std::uint64_t offset = 0;  // bytes of the snapshot's data before this chunk
    std::string data;
    bool last = false;
    std::uint64_t checksum = 0;  // of the complete snapshot's data (snapshot_checksum)
};

struct SnapshotChunkResponse {
    Term term = 0;
    Index index = 0;                   // of the snapshot
    std::uint64_t received_bytes = 0;  // from the start of the snapshot's data, without gaps
};

// The leader asks the receiver to start an election immediately (leadership transfer, thesis 3.10).
struct TimeoutNow {
    Term term = 0;
};

// A follower asks the leader for a read index: an index at or above everything acknowledged before this
// request. The follower's state is up to date for the read once it has applied the index in the response
// (thesis 6.4).
struct ReadIndexRequest {
    Term term = 0;
    std::uint64_t token = 0;  // of the follower's read, unique among the reads of all its lives
};

struct ReadIndexResponse {
    Term term = 0;
    std::uint64_t token = 0;  // copied from the request
    Index index = 0;
};

// A replica that is about to shut down asks whether the group can do without it.
struct LeaveRequest {
    Term term = 0;
    ProcessLife life = 0;  // of the sender
};

struct LeaveResponse {
    Term term = 0;
    // A majority without the sender holds all committed entries, and no membership change is pending.
    bool permitted = false;
    ProcessLife life = 0;  // copied from the request
};

// The position of a type in this variant identifies it on the wire.
using Message =
    std::variant<PreVoteRequest, PreVoteResponse, VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 HeartbeatRequest, HeartbeatResponse, SnapshotChunk, SnapshotChunkResponse, TimeoutNow,
                 ReadIndexRequest, ReadIndexResponse, LeaveRequest, LeaveResponse>;

// A message with its sender and receiver. A replica accepts only messages addressed to its own id, so a new
// replica at the address of an old one never answers for it.
struct Envelope {
    Replica from;
    Replica to;
    Message message;
};

}  // namespace dewweir::consensus
