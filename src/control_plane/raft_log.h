// The replicated log by consensus: wires the Raft replica, its store on disk and its links together. Owns the
// replica and the state machine. It must never send, answer or apply anything before the replica says so.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "consensus/raft.h"
#include "control_plane/consensus_links.h"
#include "control_plane/replicated_log.h"
#include "runtime/mailbox.h"
#include "storage/disk_writer.h"

namespace dewweir::control_plane {

struct RaftLogOptions {
    std::string folder;              // of the store
    std::string address;             // of this process, for the system's own messages
    std::vector<std::string> seeds;  // the same of the control planes there were at first
    bool bootstrap = false;          // the whole system starts for the first time
};

class RaftLog : public ReplicatedLog {
  public:
    RaftLog(runtime::EventLoop& loop, ConsensusLinks& links, LogUser& user, RaftLogOptions options);
    ~RaftLog() override;

    // Opens the store; the replica takes part from then on.
    void start();
    void received(const consensus::Envelope& envelope);
    // Another process asks to become a member.
    void joining(const consensus::Replica& replica);
    // Hands leadership over, so that the group needn't wait for a time-out.
    void leave();

    bool leads() const override;
    std::uint64_t term() const override;
    std::uint64_t commit_index() const override;
    std::uint64_t applied_index() const override { return applied_; }
    runtime::Time leader_silence() const override;
    std::optional<std::string> leader_address() const override;
    const control::StateMachine& state() const override { return state_; }
    void propose(const control::Command& command, std::function<void(const ProposalResult&)> done) override;
    void read_barrier(std::function<void(ProposalError)> done) override;

  private:
    struct Pending {
        consensus::Term term = 0;
        std::function<void(const ProposalResult&)> done;
    };

    void opened(storage::OpenResult result);
    void begin(consensus::PersistentState state, const consensus::Membership& initial, bool store_self);
    consensus::PersistentState new_replica() const;
    void written(const storage::WriteCompletion& completion);
    void write(const consensus::Write& write);
    void process();
    void apply(const consensus::Entry& entry);
    void fail_pending();
    void reads_passed();
    void compact_if_long();
    void schedule();
    void review_membership();
    void ask_to_join();
    bool is_member() const;
    void remove_dead_voter();

    runtime::EventLoop& loop_;
    ConsensusLinks& links_;
    LogUser& user_;
    RaftLogOptions options_;
    runtime::Mailbox mailbox_;
    std::shared_ptr<storage::ReplicaStore> store_;
    std::unique_ptr<storage::DiskWriter> writer_;
    std::unique_ptr<consensus::Raft> raft_;  // null until the store is open
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
    runtime::Time leader_heard_at_ = 0;
    runtime::Time leads_since_ = 0;  // meaningful at the leader
    std::map<consensus::ReplicaId, runtime::Time> heard_at_;
    runtime::Timer tick_;
    runtime::Timer review_;
};

}  // namespace dewweir::control_plane
