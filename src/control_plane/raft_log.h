// The replicated log on top of Raft: connects the Raft replica, its disk and its links. Owns the replica and
// the state machine. It must never send, answer or apply anything before the replica hands it out.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "consensus/raft.h"
#include "control/state_freshness.h"
#include "control_plane/consensus_links.h"
#include "control_plane/replica_disk.h"
#include "control_plane/replicated_log.h"

namespace dewweir::control_plane {

struct RaftLogOptions {
    std::string store_directory;     // of the replica's store on disk
    std::string address;             // this process's internal address, "IPv4:port"
    std::vector<std::string> seeds;  // internal addresses of the initial control planes
    bool bootstrap = false;          // the whole system is being started for the first time
};

class RaftLog : public ReplicatedLog, DiskObserver {
  public:
    RaftLog(runtime::EventLoop& loop, ConsensusLinks& links, LogObserver& observer, RaftLogOptions options);
    ~RaftLog() override;

    // Opens the disk; the replica takes part in consensus once that succeeds.
    void start();
    void message_received(const consensus::Envelope& envelope);
    // Another process asks to become a member: the leader adds it, others forward the request to the leader.
    void join_requested(const consensus::Replica& replica);
    // Replaces the seeds, from a reloaded settings file; they are asked for membership.
    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }
    // Prepares the end of this process: hands over leadership and keeps asking whether the group can do
    // without this replica, that is, whether a majority of the others holds everything. may_leave() gives the
    // answer.
    void start_leaving();
    bool may_leave() const { return !raft_ || raft_->may_leave(); }

    bool is_leader() const override;
    std::uint64_t term() const override;
    std::uint64_t commit_index() const override;
    std::uint64_t applied_index() const override { return applied_; }
    std::optional<runtime::Time> staleness() const override;
    DiskState disk_state() const override;
    std::vector<MemberStatus> members() const override;
    std::optional<std::string> leader_address() const override;
    const control::StateMachine& state() const override { return state_; }
    void propose(const control::Command& command, std::function<void(const ProposalResult&)> done) override;
    void read_barrier(std::function<void(ProposalError)> done) override;

  private:
    // A proposal waiting for its log entry to be applied.
    struct Pending {
        consensus::Term term = 0;
        std::function<void(const ProposalResult&)> done;
    };

    void disk_opened(DiskContent content, consensus::PersistentState state) override;
    void disk_written(consensus::WriteSequence sequence) override;
    void disk_failed() override;
    void disk_recovered() override;
    void start_replica(consensus::PersistentState state, const consensus::Membership& initial);
    consensus::Membership bootstrap_membership() const;
    // Loads a snapshot into the state machine. Returns false if it cannot be decoded; the replica then takes
    // no part until the process is restarted, possibly with a newer build that can.
    bool restore_state(const std::string& data);
    void process_ready();
    void apply(const consensus::Entry& entry);
    void fail_pending();
    void complete_safe_reads();
    void compact_if_needed();
    void schedule_tick();
    void review_membership();
    void request_to_join();
    void request_freshness_proof();
    void continue_leaving();
    bool may_join(const consensus::Replica& replica) const;
    void stop_replica();

    runtime::EventLoop& loop_;
    ConsensusLinks& links_;
    LogObserver& observer_;
    RaftLogOptions options_;
    ReplicaDisk disk_;
    std::unique_ptr<consensus::Raft> raft_;  // null until the disk is read, and after stop_replica
    control::StateMachine state_;
    consensus::Index applied_ = 0;
    std::size_t entries_since_snapshot_ = 0;
    std::size_t bytes_since_snapshot_ = 0;                // of entry payloads
    std::optional<consensus::Replica> unsaved_identity_;  // to be stored with the next write
    std::map<consensus::Index, Pending> pending_;         // by index of the log entry
    std::map<consensus::ReadToken, std::function<void(ProposalError)>> reads_;  // open read barriers
    std::map<consensus::ReadToken, consensus::Index> safe_reads_;  // complete once this index is applied
    consensus::ReadToken last_read_ = 0;
    bool processing_ = false;  // inside process_ready, which must not be entered again
    control::StateFreshness freshness_;
    runtime::Time leader_last_contact_ = 0;  // when the current leader's last message arrived
    bool leaving_ = false;
    runtime::Timer tick_;
    runtime::Timer review_;
    runtime::Timer freshness_timer_;
    runtime::Timer leave_timer_;
};

}  // namespace dewweir::control_plane
