// The JSON bodies of the operator API's read-only requests: a control plane's status, and the configuration
// versions it has accepted. Pure: everything shown is passed in.
#pragma once

#include <cstdint>
#include <string>

#include "control_plane/replicated_log.h"
#include "distribution/view.h"

namespace dewweir::control_plane {

// The state of the replicated log as one control plane knows it.
struct LogStatus {
    bool is_leader = false;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    // For how long changes may have been acknowledged that are missing here; nothing before the first proof
    // of being in sync.
    std::optional<runtime::Time> staleness{};
    DiskState disk = DiskState::writable;
    std::vector<MemberStatus> members{};
    std::string leader;          // the leader's internal address; empty while none is known
    std::string leader_control;  // the address of the leader's operator API; empty while not known
};

// The body of GET /v1/status: the log as this process sees it, members, instances by service and state,
// evacuated zones and the version in force. Members and instances may be stale while this process is cut off
// from the leader.
std::string status_body(const std::string& node, const LogStatus& log, const control::StateMachine& state,
                        const distribution::View& view);

// The body of GET /v1/history: the accepted versions, oldest first, each with the hash of its text; the
// version in force also with its size in bytes, since the texts of earlier ones are not kept.
std::string history_body(const control::StateMachine& state);

}  // namespace dewweir::control_plane
