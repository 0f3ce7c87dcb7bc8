// Data types shared by the consensus algorithm and its durable store: log entries, the hard state that a
// replica must not lose, snapshots and the group's membership. Plain data, no behaviour.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dewweir::consensus {

// Identifies one replica on one disk: a machine whose disk was lost gets a new id. 0 means no replica.
using ReplicaId = std::uint64_t;
// Drawn at every start of a replica's process, which keeps its ReplicaId; 0 in messages of earlier builds,
// which do not state it.
using ProcessLife = std::uint64_t;
// A Raft term; 0 before the first election.
using Term = std::uint64_t;
// Position of an entry in the log, counted from 1; 0 precedes the first entry.
using Index = std::uint64_t;

// One member of the group and where other processes of the system reach it.
struct Replica {
    ReplicaId id = 0;
    std::string address;  // "IPv4:port" of the port for other processes of the system

    bool operator==(const Replica&) const = default;
};

// The replicas that take part in consensus.
struct Membership {
    std::vector<Replica> voters;      // a majority of them elects leaders and commits entries
    std::vector<Replica> learners{};  // receive the log but do not vote
    // The previous voters while one voter is replaced by another: during this joint consensus (thesis 4.3)
    // decisions need a majority of these as well. Empty otherwise.
    std::vector<Replica> outgoing{};
    // Number of voters the group should have. Failed voters beyond this number are removed; with no surplus
    // a failed voter stays until a substitute replaces it. 0 in data stored by earlier versions: the current
    // number of voters applies.
    std::uint32_t target_voter_count = 0;

    bool operator==(const Membership&) const = default;
};

enum class EntryKind : std::uint8_t {
    no_op,       // first entry of a leader's term
    command,     // `payload` is a command of the replicated state machine
    membership,  // replaces the membership as soon as it is in the log, before it is committed
};

// One entry of the replicated log.
struct Entry {
    Term term = 0;
    Index index = 0;
    EntryKind kind = EntryKind::no_op;
    std::string payload;    // for EntryKind::command
    Membership membership;  // for EntryKind::membership

    bool operator==(const Entry&) const = default;
};

// State that must be on disk before the replica answers a vote request or an append.
struct HardState {
    Term term = 0;
    ReplicaId vote = 0;  // candidate voted for in `term`, 0 if none
    Index commit = 0;    // lower bound of the commit index; may lag behind

    bool operator==(const HardState&) const = default;
};

// The state machine's state after it has applied all entries up to `index`.
struct Snapshot {
    Index index = 0;
    Term term = 0;  // of the entry at `index`
    Membership membership;
    std::string data;

    bool operator==(const Snapshot&) const = default;
};

// Everything a replica restarts from.
struct PersistentState {
    Replica self;  // id 0: this disk has never held a replica
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;  // the entries after the snapshot, without gaps
};

}  // namespace dewweir::consensus
