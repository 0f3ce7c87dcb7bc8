// The bodies of the calls by which operators look at a control plane: its status and the versions it has
// accepted. Pure: everything shown is handed in.
#pragma once

#include <cstdint>
#include <string>

#include "control_plane/replicated_log.h"
#include "distribution/view.h"

namespace dewweir::control_plane {

// What one control plane knows of the replicated log.
struct LogStatus {
    bool leads = false;
    std::uint64_t term = 0;
    std::uint64_t commit_index = 0;
    std::uint64_t applied_index = 0;
    // For how long changes may have been acknowledged that this process lacks; nothing where it was never in
    // step.
    std::optional<runtime::Time> staleness{};
    DiskState disk = DiskState::takes_writes;
    std::vector<MemberStatus> members{};
    std::string leader;          // internal address; empty while none is known
    std::string leader_control;  // where it takes operators' calls; empty while that is not known
};

// The body of GET /v1/status: the log as this process sees it, members, instances by service and state,
// evacuated zones and the version in force. Members and instances may lag behind where this process is cut
// off.
std::string status_body(const std::string& node, const LogStatus& log, const control::StateMachine& state,
                        const distribution::View& view);

// The body of GET /v1/history: the versions accepted, oldest first. Of the version in force also its size in
// bytes: of earlier ones only a hash of their text is kept.
std::string history_body(const control::StateMachine& state);

}  // namespace dewweir::control_plane
