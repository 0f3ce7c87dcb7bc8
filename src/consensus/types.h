// The data that agreement works on and that storage keeps: entries of the replicated log, the state a replica
// must not forget, snapshots and memberships. Data alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dewweir::consensus {

using ReplicaId = std::uint64_t;  // of one replica's life on one disk; 0 is none
using Term = std::uint64_t;       // 0 before the first election
using Index = std::uint64_t;      // of an entry in the log, from 1; 0 is before the first

struct Replica {
    ReplicaId id = 0;
    std::string address;  // "IPv4:port" of the replica's port for other processes of the system

    bool operator==(const Replica&) const = default;
};

struct Membership {
    std::vector<Replica> voters;      // whose majority decides
    std::vector<Replica> learners{};  // who receive the log and have no vote
    // While one voter is exchanged for another, the voters before: a majority of them is needed as well
    // (joint consensus, thesis 4.3). Empty otherwise.
    std::vector<Replica> outgoing{};
    // How many voters the group ought to have. Voters beyond it that are gone are removed; with no more than
    // that a lost one waits for its substitute. 0 in what earlier versions stored: as many as there are.
    std::uint32_t wanted_voters = 0;

    bool operator==(const Membership&) const = default;
};

enum class EntryKind : std::uint8_t {
    no_op,       // the first of a leader's term
    command,     // the payload is the state machine's
    membership,  // replaces the membership as soon as it is in the log
};

struct Entry {
    Term term = 0;
    Index index = 0;
    EntryKind kind = EntryKind::no_op;
    std::string payload;    // of a command
    Membership membership;  // of a membership

    bool operator==(const Entry&) const = default;
};

// What a replica must have on its disk before it answers a vote or an append.
struct HardState {
    Term term = 0;
    ReplicaId vote = 0;  // given in `term`
    Index commit = 0;    // a lower bound; may lag behind

    bool operator==(const HardState&) const = default;
};

// The state machine's state after all entries up to `index`.
struct Snapshot {
    Index index = 0;
    Term term = 0;
    Membership membership;
    std::string data;

    bool operator==(const Snapshot&) const = default;
};

// All that a replica starts from.
struct PersistentState {
    Replica self;  // id 0: this disk has never held a replica
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;  // after the snapshot, without gaps
};

}  // namespace dewweir::consensus
