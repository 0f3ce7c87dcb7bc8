// The replicated log as the rest of a control plane uses it: leadership, proposed and applied commands, and
// barriers for linearizable reads. The implementation chooses the consensus algorithm.
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
    unavailable,  // the result is unknown: the command may or may not be applied later
};

struct ProposalResult {
    ProposalError error = ProposalError::none;
    control::Outcome outcome = control::Outcome::accepted;  // valid without an error
};

// Receives the log's notifications.
class LogObserver {
  public:
    virtual ~LogObserver() = default;
    // The state machine has applied entries or restored a snapshot.
    virtual void state_changed() = 0;
    // The known leader has changed, whether it is this process or another.
    virtual void leadership_changed() = 0;
};

enum class DiskState : std::uint8_t {
    writable,
    stalled,  // the oldest write has been pending for too long
    failed,   // a write failed: nothing is acknowledged here until the disk accepts writes again
};

// A member's role in the consensus group. `outgoing`: a voter that the exchange under way (joint consensus)
// replaces.
enum class MemberRole : std::uint8_t { voter, learner, outgoing };

// One member of the consensus group.
struct MemberStatus {
    std::string address;  // its internal address, "IPv4:port"
    MemberRole role = MemberRole::voter;
    // Log entries that its disk lacks; known by the leader only.
    std::optional<std::uint64_t> lag_entries{};
    runtime::Time since_last_contact = 0;  // time since its last message to the leader
};

class ReplicatedLog {
  public:
    virtual ~ReplicatedLog() = default;

    virtual bool is_leader() const = 0;
    // The current term; grows with every election.
    virtual std::uint64_t term() const = 0;
    // The last entry known here to be committed, and the last one applied to the state machine.
    virtual std::uint64_t commit_index() const = 0;
    virtual std::uint64_t applied_index() const = 0;
    // How old the last proof of being in sync with a majority is (control/state_freshness.h): changes
    // acknowledged since may be missing here. The leader needs the proof as well. Nothing before the first
    // proof.
    virtual std::optional<runtime::Time> staleness() const = 0;
    virtual DiskState disk_state() const = 0;
    // The group's members by the latest membership in the log; lag and last contact are filled in by the
    // leader.
    virtual std::vector<MemberStatus> members() const = 0;
    // The leader's internal address; nothing while no leader is known.
    virtual std::optional<std::string> leader_address() const = 0;
    virtual const control::StateMachine& state() const = 0;

    // Calls `done` once the command is applied, or with an error.
    virtual void propose(const control::Command& command,
                         std::function<void(const ProposalResult&)> done) = 0;
    // Calls `done` once the state holds everything acknowledged before this call, or with an error.
    virtual void read_barrier(std::function<void(ProposalError)> done) = 0;
};

}  // namespace dewweir::control_plane
