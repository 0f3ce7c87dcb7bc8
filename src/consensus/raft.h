// One replica of a replicated log: the Raft algorithm as published in Diego Ongaro's thesis "Consensus:
// Bridging Theory and Practice" (2014). Comments cite its sections where they apply.
//
// Raft is a deterministic state machine without I/O: its owner passes in the time, received messages,
// proposals and completed disk writes, and after each such call takes a Ready with the actions to perform.
// The owner has three obligations:
//  - It performs each Write in order and calls persisted() only once that write is synced.
//  - It sends the messages of a Ready immediately, without waiting for the Write in the same Ready. Messages
//    that must not be sent before a write is synced (votes, vote requests, acknowledgements of entries)
//    appear only in a Ready taken after persisted().
//  - It chooses a new ReplicaId after the disk was lost. An id is never reused, not even at the same address.
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

// A replica's role in its current term; a pre-candidate runs a pre-vote (thesis 9.6).
enum class Role : std::uint8_t { follower, pre_candidate, candidate, leader };

// An accepted proposal. Once the entry at `index` is applied, the proposal is committed if that entry has
// this term, and lost if it has another.
struct Accepted {
    Index index = 0;
    Term term = 0;
};

// A rejected request.
struct Refused {
    RefusalReason reason = RefusalReason::not_leader;
    std::optional<Replica> leader;  // the replica to ask instead, if known
};

using ProposeResult = std::variant<Accepted, Refused>;

// Replaces the log on disk from `from` on: all entries there are deleted, then `entries` are written in
// order.
struct EntriesWrite {
    Index from = 0;
    std::vector<Entry> entries;
};

// A batch of changes for the disk, to be written in the order of the members. The machine may stop between
// any two of them, or between two entries. Entries that the snapshot covers may be deleted only after the
// snapshot is synced.
struct Write {
    WriteSequence sequence = 0;
    std::optional<HardState> hard_state;
    std::shared_ptr<const Snapshot> snapshot;  // null: unchanged
    std::optional<EntriesWrite> entries;
};

// The replica's role, term or known leader has changed.
struct RoleChange {
    Role role = Role::follower;
    Term term = 0;
    std::optional<Replica> leader;

    bool operator==(const RoleChange&) const = default;
};

// The actions that the owner has to perform now.
struct Ready {
    std::optional<Write> write;
    std::vector<Envelope> messages;
    // Not null: the state machine is replaced by this snapshot before `committed` is applied.
    std::shared_ptr<const Snapshot> restore;
    std::vector<Entry> committed;  // to apply, each once, in order
    std::vector<SafeRead> reads;
    std::vector<ReadToken> failed_reads;  // leadership was lost; retry at another replica
    std::optional<RoleChange> role_change;
};

class Raft {
  public:
    // `state.self` identifies this replica. `initial` is the membership of a group that starts for the first
    // time, identical at all its replicas; it is empty at every later start and for a replica that joins. The
    // state machine starts from state.snapshot, and committed entries after it are handed out again. A
    // snapshot without data stands for the state machine's initial state. `seed` determines the election
    // timeouts and the life.
    Raft(const Options& options, const PersistentState& state, const Membership& initial, std::uint64_t seed,
         TimePoint now);

    // Must be called at next_deadline() or soon after. Never goes back in time: an earlier `now`, here as in
    // all other calls, counts as the latest one seen.
    void tick(TimePoint now);
    TimePoint next_deadline() const;

    void receive(TimePoint now, const Envelope& envelope);
    // Reports that all writes up to `sequence` are synced.
    void persisted(TimePoint now, WriteSequence sequence);

    // Leader only: appends a command to the log.
    ProposeResult propose(TimePoint now, std::string payload);
    ProposeResult propose_membership(TimePoint now, const MembershipChange& change);
    // Leader only: confirms a linearizable read in a heartbeat round of its own. The token is returned in
    // Ready::reads or Ready::failed_reads, unless the call is rejected.
    std::optional<Refused> read_index(TimePoint now, ReadToken token);
    // Obtains a read index at any replica, from the leader. The token is returned in Ready::reads, or never:
    // a lost request is not repeated. Tokens that the caller has not passed in may be returned too: responses
    // to an earlier life of this process. At the leader the read waits for the next periodic heartbeat round.
    void read_index_via_leader(TimePoint now, ReadToken token);
    // Leader only: transfers leadership to another voter (thesis 3.10). Abandoned after an election timeout;
    // until then proposals are rejected.
    std::optional<Refused> transfer_leadership(TimePoint now, ReplicaId to);
    // Prepares the replica for shutdown: transfers leadership away, or asks the leader for permission to
    // leave. Must be repeated until may_leave().
    void prepare_to_leave(TimePoint now);
    // Whether the group can do without this replica: the leader has permitted it to leave, or it is not a
    // member, or it is the only voter.
    bool may_leave() const;
    // Gives up leadership immediately, asks the most up-to-date follower to campaign, and delays this
    // replica's own next election so that others campaign first.
    void step_down(TimePoint now);

    // Replaces the log up to `index` by a snapshot with the state machine's state after that entry. Ignored
    // if the entry has not been handed out as committed yet, or is already compacted.
    void compact(Index index, std::string data);

    // Returns the complete state as one write, for a disk that has lost writes not yet reported as persisted.
    // Its sequence covers all writes handed out before.
    Write full_state_write();

    // Returns the pending actions and clears them. Must be called after each of the calls above.
    Ready take();

    // Whether this replica may start elections. False while its disk accepts no writes and so cannot store
    // votes.
    void set_may_campaign(bool may_campaign) { may_campaign_ = may_campaign; }

    // The leader's view of another member.
    struct Peer {
        Replica replica;
        Index match = 0;  // its log on disk equals the leader's up to here
        microseconds time_since_contact{0};
    };
    // All other members if this replica is the leader, otherwise empty.
    std::vector<Peer> peers(TimePoint now) const;

    Role role() const { return role_; }
    Term term() const { return term_; }
    Index commit_index() const { return commit_; }
    const Replica& self() const { return self_; }
    std::optional<Replica> leader() const;
    const Membership& membership() const { return log_.membership(); }
    const Log& log() const { return log_; }

  private:
    // Grouped by the source file that implements them. on() handles one kind of received message.

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
    Refused refused(RefusalReason reason) const { return {reason, leader()}; }

    // election.cpp
    void start_pre_vote();
    void start_election(bool leadership_transfer);
    void become_leader();
    bool has_live_leader() const;
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
    std::optional<RefusalReason> membership_refusal() const;
    void set_membership(const Membership& membership);
    void maintain_membership();
    void replace_without_joint_consensus(const ReplaceVoter& replacement);
    GroupState group_state() const;
    void apply_committed_membership();
    void continue_transfer();
    void send_timeout_now(const Replica& replica);
    std::optional<Replica> best_successor() const;

    // reads.cpp
    void confirm_reads();
    void fail_reads();
    void on(const Replica& from, const ReadIndexRequest& request);
    void on(const Replica& from, const ReadIndexResponse& response);

    // leaving.cpp
    bool majority_up_to_date_without(ReplicaId leaver) const;
    bool can_release(ReplicaId leaver) const;
    void on(const Replica& from, const LeaveRequest& request);
    void on(const Replica& from, const LeaveResponse& response);

    // snapshot_transfer.cpp
    void send_snapshot_chunk(Progress& progress);
    void resend_snapshot_chunks();
    void install(const SnapshotChunk& description, std::string data);
    void on(const Replica& from, const SnapshotChunk& chunk);
    void on(const Replica& from, const SnapshotChunkResponse& response);

    // A heartbeat round and when it was sent, to measure round trips.
    struct Round {
        HeartbeatRound number = 0;
        TimePoint sent_at;
    };
    // A leadership transfer in progress.
    struct Transfer {
        ReplicaId to;
        TimePoint deadline;  // the transfer is abandoned then
        bool timeout_now_sent;
    };
    // A snapshot that is being received, with the data received so far.
    struct IncomingSnapshot {
        Term term;
        Index index;
        std::uint64_t checksum;
        std::string data;

        bool is_same_snapshot(const IncomingSnapshot& other) const {
            return term == other.term && index == other.index && checksum == other.checksum;
        }
    };

    Options options_;
    Replica self_;
    ProcessLife life_;
    TimePoint now_;
    ElectionTimer timer_;
    Log log_;
    WriteTracker writes_;

    Term term_ = 0;
    ReplicaId vote_ = 0;
    Role role_ = Role::follower;
    std::optional<Replica> leader_;
    TimePoint last_leader_contact_{};
    Index commit_ = 0;
    Index applied_ = 0;                      // handed out as committed
    Index durable_commit_ = 0;               // commit index in the last written hard state
    WriteSequence term_write_sequence_ = 0;  // the write that contains the current term

    std::set<ReplicaId> votes_;  // (pre-)candidate: the replicas that granted their vote

    // Follower: the log in memory equals that of the current term's leader up to here.
    std::optional<Index> matched_;
    std::optional<IncomingSnapshot> incoming_snapshot_;

    std::map<ReplicaId, Progress> progress_;  // leader: all other members
    HeartbeatRound round_ = 0;                // leader: the latest round started
    std::deque<Round> rounds_;                // leader: the latest rounds, oldest first
    TimePoint heartbeat_due_{};
    ReadQueue read_queue_;
    std::optional<Transfer> transfer_;
    bool may_campaign_ = true;
    bool may_leave_ = false;
    TimePoint membership_changed_at_{};  // leader: also set when it was elected

    // Collected for the next Ready.
    std::vector<Envelope> messages_;
    std::shared_ptr<const Snapshot> restore_;
    std::vector<SafeRead> safe_reads_;
    std::vector<ReadToken> failed_reads_;
    RoleChange reported_role_change_;  // the last one handed out
};

}  // namespace dewweir::consensus
