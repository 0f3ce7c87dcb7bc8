// The replicated log by consensus: wires the Raft replica, its store on disk and its links together. Owns the
// replica and the state machine. It must never send, answer or apply anything before the replica says so.
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
    std::string folder;              // of the store
    std::string address;             // of this process, for the system's own messages
    std::vector<std::string> seeds;  // the same of the control planes there were at first
    bool bootstrap = false;          // the whole system starts for the first time
};

class RaftLog : public ReplicatedLog, DiskUser {
  public:
    RaftLog(runtime::EventLoop& loop, ConsensusLinks& links, LogUser& user, RaftLogOptions options);
    ~RaftLog() override;

    // Opens the store; the replica takes part from then on.
    void start();
    void received(const consensus::Envelope& envelope);
    // Another process asks to become a member.
    void joining(const consensus::Replica& replica);
    // Control planes to ask for membership, from a settings file read again.
    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }
    // This process is to end: leadership is handed over, and others take over what only this replica holds.
    void leave();
    bool may_leave() const { return !raft_ || raft_->may_leave(); }

    bool leads() const override;
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
    struct Pending {
        consensus::Term term = 0;
        std::function<void(const ProposalResult&)> done;
    };

    void disk_opened(DiskContent content, consensus::PersistentState state) override;
    void disk_written(consensus::WriteSequence sequence) override;
    void disk_refused() override;
    void disk_recovered() override;
    void begin(consensus::PersistentState state, const consensus::Membership& initial);
    consensus::Membership first_membership() const;
    // Takes over a snapshot's state. One that cannot be read ends the replica's part until the process starts
    // anew, perhaps as a build that can.
    bool restore(const std::string& data);
    void process();
    void apply(const consensus::Entry& entry);
    void fail_pending();
    void reads_passed();
    void compact_if_long();
    void schedule();
    void review_membership();
    void ask_to_join();
    void ask_for_freshness();
    void go_on_leaving();
    bool may_join(const consensus::Replica& replica) const;
    void end_part();

    runtime::EventLoop& loop_;
    ConsensusLinks& links_;
    LogUser& user_;
    RaftLogOptions options_;
    ReplicaDisk disk_;
    std::unique_ptr<consensus::Raft> raft_;  // null until the disk is read
    control::StateMachine state_;
    consensus::Index applied_ = 0;
    std::size_t entries_since_snapshot_ = 0;
    std::size_t bytes_since_snapshot_ = 0;          // of payloads
    std::optional<consensus::Replica> store_self_;  // to be stored with the first write
    std::map<consensus::Index, Pending> pending_;
    std::map<consensus::ReadToken, std::function<void(ProposalError)>> reads_;
    std::map<consensus::ReadToken, consensus::Index> safe_reads_;  // wait for this index to be applied
    consensus::ReadToken last_read_ = 0;
    bool processing_ = false;
    control::StateFreshness freshness_;
    runtime::Time leader_heard_at_ = 0;
    bool leaving_ = false;
    runtime::Timer tick_;
    runtime::Timer review_;
    runtime::Timer freshness_timer_;
    runtime::Timer leave_timer_;
};

}  // namespace dewweir::control_plane
