// The replicated log as the rest of a control plane sees it: who leads, commands proposed and applied, and
// barriers for reads. Who implements it decides how agreement is reached.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/state_machine.h"
#include "runtime/event_loop.h"

namespace dewweir::control_plane {

enum class ProposalError : std::uint8_t {
    none,
    not_leader,   // nothing was proposed
    unavailable,  // may or may not be applied later
};

struct ProposalResult {
    ProposalError error = ProposalError::none;
    control::Outcome outcome = control::Outcome::accepted;
};

class LogUser {
  public:
    virtual ~LogUser() = default;
    // The state machine has moved on.
    virtual void state_changed() = 0;
    // Who leads has changed, here or elsewhere.
    virtual void leadership_changed() = 0;
};

enum class DiskState : std::uint8_t {
    takes_writes,
    hangs,    // a write has waited for long
    refuses,  // it takes no bytes: nothing is promised here until it does
};

enum class MemberPart : std::uint8_t { voter, learner, outgoing };

// One member of the group.
struct MemberStatus {
    std::string address;
    MemberPart part = MemberPart::voter;
    std::optional<std::uint64_t> behind{};  // entries that its disk lacks; told by the leader alone
    runtime::Time silence = 0;              // since the leader heard it
};

class ReplicatedLog {
  public:
    virtual ~ReplicatedLog() = default;

    virtual bool leads() const = 0;
    // Grows with every leader.
    virtual std::uint64_t term() const = 0;
    // The last entry that this process knows to be agreed on, and the last one that its state holds.
    virtual std::uint64_t commit_index() const = 0;
    virtual std::uint64_t applied_index() const = 0;
    // For how long changes may have been acknowledged that the state lacks, by proof of being in step with a
    // majority (control/state_freshness.h), also at the leader; nothing where it was never in step.
    virtual std::optional<runtime::Time> staleness() const = 0;
    virtual DiskState disk_state() const = 0;
    // As the leader knows them; as the log has them elsewhere.
    virtual std::vector<MemberStatus> members() const = 0;
    // The leader's address for the system's own messages; nothing while none is known.
    virtual std::optional<std::string> leader_address() const = 0;
    virtual const control::StateMachine& state() const = 0;

    virtual void propose(const control::Command& command,
                         std::function<void(const ProposalResult&)> done) = 0;
    // Calls `done` once the state holds everything acknowledged before this call, or with an error.
    virtual void read_barrier(std::function<void(ProposalError)> done) = 0;
};

}  // namespace dewweir::control_plane
