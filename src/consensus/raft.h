// One replica of a replicated log: the Raft algorithm as published in Diego Ongaro's thesis "Consensus:
// Bridging Theory and Practice" (2014), whose sections are named where they are used.
//
// A state machine: the owner hands in the time, messages, proposals and finished disk writes, and after each
// such call takes out what is to be done. The owner has three duties:
//  - it writes each Write in order and calls persisted() only once that write is synced;
//  - it sends the messages of a Ready at once, without waiting for the Write beside them. What must not be
//    said before a write is synced (votes, requests for votes, acknowledgements of entries) appears only in a
//    Ready after persisted();
//  - a disk that was lost gets a new ReplicaId. An id is never used again, not even at the same address.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/election_timer.h"
#include "consensus/log.h"
#include "consensus/membership.h"
#include "consensus/membership_policy.h"
#include "consensus/messages.h"
#include "consensus/options.h"
#include "consensus/progress.h"
#include "consensus/read_queue.h"
#include "consensus/types.h"
#include "consensus/write_tracker.h"

namespace dewweir::consensus {

enum class Role : std::uint8_t { follower, pre_candidate, candidate, leader };

// An accepted proposal: committed if the entry at `index` has this term once applied, lost if it has another.
struct Accepted {
    Index index = 0;
    Term term = 0;
};

struct Refused {
    Refusal reason = Refusal::not_leader;
    std::optional<Replica> leader;  // whom to ask instead, if known
};

using ProposeResult = std::variant<Accepted, Refused>;

// The log on disk from `from` on: everything there is deleted, then `entries` are written in their order.
struct EntriesWrite {
    Index from = 0;
    std::vector<Entry> entries;
};

// To be written in the order of the members; a machine may stop between any two of them, or between two
// entries. Only after the snapshot is synced may entries that it covers be deleted.
struct Write {
    WriteSequence sequence = 0;
    std::optional<HardState> hard_state;
    std::shared_ptr<const Snapshot> snapshot;  // null: none
    std::optional<EntriesWrite> entries;
};

struct RoleChange {
    Role role = Role::follower;
    Term term = 0;
    std::optional<Replica> leader;

    bool operator==(const RoleChange&) const = default;
};

// What the owner has to do now.
struct Ready {
    std::optional<Write> write;
    std::vector<Envelope> messages;
    std::shared_ptr<const Snapshot> restore;  // not null: replace the state machine by it before applying
    std::vector<Entry> committed;             // to apply: each once, in order
    std::vector<SafeRead> reads;
    std::vector<ReadToken> failed_reads;  // leadership was lost; try elsewhere
    std::optional<RoleChange> role_change;
};

class Raft {
  public:
    // `state.self` names this replica. `initial` is the membership of a group that starts for the first time,
    // the same at all its replicas; it is empty for every later start and for a replica that joins. The state
    // machine starts from state.snapshot, and entries after it are given out again. A snapshot without data
    // is the state machine's first state.
    Raft(const Options& options, const PersistentState& state, const Membership& initial, std::uint64_t seed,
         TimePoint now);

    // To be called at next_deadline() or soon after.
    void tick(TimePoint now);
    TimePoint next_deadline() const;

    void receive(TimePoint now, const Envelope& envelope);
    // All writes up to `sequence` are synced.
    void persisted(TimePoint now, WriteSequence sequence);

    ProposeResult propose(TimePoint now, std::string payload);
    ProposeResult propose_membership(TimePoint now, const MembershipChange& change);
    // The token comes back in Ready::reads or Ready::failed_reads; a refused one does not.
    std::optional<Refused> read_index(TimePoint now, ReadToken token);
    // Asks up to where everything is that was acknowledged before, at the leader or through it: the token
    // comes back in Ready::reads, or not at all. At the leader it waits for the next regular round.
    void confirm_state(TimePoint now, ReadToken token);
    // Hands leadership over (thesis 3.10); given up after an election time-out.
    std::optional<Refused> transfer_leadership(TimePoint now, ReplicaId to);
    // This replica is to end: hands leadership over, or asks the leader whether the group does without it. To
    // be called again and again until may_leave().
    void prepare_to_leave(TimePoint now);
    // A majority of others held everything when that was last asked, or this replica is no member.
    bool may_leave() const;
    // Stops leading at once, asking the best follower to stand for election, and lets others stand first.
    void step_down(TimePoint now);

    // The state machine's state after the entry `index`, which has been given out, replaces the log up to
    // there. An index that has not been given out or is compacted already is ignored.
    void compact(Index index, std::string data);

    // The whole state as one write, for a disk that lost writes which this replica has not reported
    // persisted. Its sequence covers all that was handed out before.
    Write whole_state();

    Ready take();

    // Whether it stands for election: not while its disk takes no votes.
    void set_standing(bool stands) { stands_ = stands; }

    // What a leader knows of another member; nothing elsewhere.
    struct Peer {
        Replica replica;
        Index match = 0;  // on its disk
        microseconds silence{0};
    };
    std::vector<Peer> peers(TimePoint now) const;

    Role role() const { return role_; }
    Term term() const { return term_; }
    Index commit_index() const { return commit_; }
    const Replica& self() const { return self_; }
    std::optional<Replica> leader() const;
    const Membership& membership() const { return log_.membership(); }
    const Log& log() const { return log_; }

  private:
    // raft.cpp
    void advance_clock(TimePoint now);
    void send(const Replica& to, Message message);
    void hold_until_persisted(const Replica& to, Message message);
    void become_follower(Term term);
    void set_term(Term term);
    void advance_commit_to(Index index);
    std::optional<Write> collect_write();
    std::vector<Entry> collect_committed();
    bool is_voter() const { return has_vote(log_.membership(), self_.id); }
    Refused refused(Refusal reason) const { return {reason, leader()}; }

    // election.cpp
    void start_pre_vote();
    void start_election(bool leadership_transfer);
    void become_leader();
    bool hears_leader() const;
    bool has_vote_majority() const;
    bool is_up_to_date(Index last_index, Term last_term) const;
    void on(const Replica& from, const PreVoteRequest& request);
    void on(const Replica& from, const PreVoteResponse& response);
    void on(const Replica& from, const VoteRequest& request);
    void on(const Replica& from, const VoteResponse& response);
    void on(const Replica& from, const TimeoutNow& request);

    // replication.cpp: leader
    void append(EntryKind kind, std::string payload, Membership membership);
    void start_heartbeat_round();
    void send_appends();
    void send_append(Progress& progress);
    void update_commit();
    void check_quorum();
    void measure_round_trip(Progress& progress, HeartbeatRound round);
    bool has_committed_in_term() const { return log_.term_at(commit_) == term_; }
    Progress* progress_of(const Replica& from, Term term);
    void on(const Replica& from, const AppendResponse& response);
    void on(const Replica& from, const HeartbeatResponse& response);

    // replication.cpp: follower
    bool accept_leader(const Replica& from, Term term);
    void acknowledge();
    Index synced_match() const;
    Index conflict_hint(Index previous_index, Term previous_term) const;
    void accept_entries(const std::vector<Entry>& entries);
    void on(const Replica& from, const AppendRequest& request);
    void on(const Replica& from, const HeartbeatRequest& request);

    // membership_changes.cpp
    std::optional<Refusal> membership_refusal() const;
    void set_membership(const Membership& membership);
    void maintain_membership();
    void exchange_in_one_step(const ExchangeVoter& exchange);
    GroupState group_state() const;
    void follow_membership();
    void continue_transfer();
    void ask_to_stand(const Replica& replica);
    std::optional<Replica> best_successor() const;

    // reads.cpp
    void confirm_reads();
    void fail_reads();
    void on(const Replica& from, const ReadIndexRequest& request);
    void on(const Replica& from, const ReadIndexResponse& response);

    // leaving.cpp
    bool majority_without(ReplicaId leaver) const;
    bool does_without(ReplicaId leaver) const;
    void on(const Replica& from, const LeaveRequest& request);
    void on(const Replica& from, const LeaveResponse& response);

    // snapshot_transfer.cpp
    void send_snapshot_chunk(Progress& progress);
    void resend_snapshot_chunks();
    void install(const SnapshotChunk& description, std::string data);
    void on(const Replica& from, const SnapshotChunk& chunk);
    void on(const Replica& from, const SnapshotChunkResponse& response);

    struct Round {
        HeartbeatRound number = 0;
        TimePoint sent_at;
    };
    struct Transfer {
        ReplicaId to;
        TimePoint give_up_at;
        bool asked;
    };
    struct IncomingSnapshot {
        Term term;
        Index index;
        std::uint64_t checksum;
        std::string data;

        bool is_part_of(const IncomingSnapshot& other) const {
            return term == other.term && index == other.index && checksum == other.checksum;
        }
    };

    Options options_;
    Replica self_;
    TimePoint now_;
    ElectionTimer timer_;
    Log log_;
    WriteTracker writes_;

    Term term_ = 0;
    ReplicaId vote_ = 0;
    Role role_ = Role::follower;
    std::optional<Replica> leader_;
    TimePoint leader_heard_at_{};
    Index commit_ = 0;
    Index applied_ = 0;             // given out
    Index durable_commit_ = 0;      // the commit index as last written
    WriteSequence term_write_ = 0;  // the write that holds the term

    std::set<ReplicaId> votes_;  // candidates: who agreed

    std::optional<Index> matched_;  // follower: equal to the leader's log up to here, in this term
    std::optional<IncomingSnapshot> incoming_snapshot_;

    std::map<ReplicaId, Progress> progress_;  // leader: all others
    HeartbeatRound round_ = 0;
    std::deque<Round> rounds_;
    TimePoint heartbeat_due_{};
    ReadQueue read_queue_;
    std::optional<Transfer> transfer_;
    bool stands_ = true;
    bool may_leave_ = false;
    TimePoint membership_changed_at_{};  // at the leader

    std::vector<Envelope> messages_;
    std::shared_ptr<const Snapshot> restore_;
    std::vector<SafeRead> safe_reads_;
    std::vector<ReadToken> failed_reads_;
    RoleChange reported_;
};

}  // namespace dewweir::consensus
