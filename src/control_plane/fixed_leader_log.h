// A log without agreement: the control plane with the lowest address leads for good and keeps commands in memory alone.
// For the first path through the system, and for tests of what stands on the log.
#pragma once

#include "control_plane/replicated_log.h"

namespace dewweir::control_plane {

class FixedLeaderLog : public ReplicatedLog {
  public:
    FixedLeaderLog(LogUser& user, std::string self, std::string leader)
        : user_(user), self_(std::move(self)), leader_(std::move(leader)) {}

    bool leads() const override { return self_ == leader_; }
    std::uint64_t term() const override { return 1; }
    std::optional<std::string> leader_address() const override { return leader_; }
    const control::StateMachine& state() const override { return state_; }

    void propose(const control::Command& command, std::function<void(const ProposalResult&)> done) override {
        if (!leads()) return done({ProposalError::not_leader});
        const control::Outcome outcome = state_.apply(++index_, command);
        user_.state_changed();
        done({ProposalError::none, outcome});
    }
    void read_barrier(std::function<void(ProposalError)> done) override {
        done(leads() ? ProposalError::none : ProposalError::not_leader);
    }

  private:
    LogUser& user_;
    std::string self_;
    std::string leader_;
    control::StateMachine state_;
    std::uint64_t index_ = 0;
};

}  // namespace dewweir::control_plane
