// The status of every control plane that answers, and the one among them that knows most.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "program/answers.h"
#include "program/control_client.h"

namespace dewweir::program {

struct ControlPlaneStatus {
    ControlAddress address;
    std::optional<Status> status;  // nothing: no answer that can be read
    std::string fault{};           // why, in words
};

struct FleetStatus {
    std::vector<ControlPlaneStatus> control_planes;

    // The leader of the highest term; without one, who has committed most; null where nobody answers.
    const ControlPlaneStatus* best() const;
    bool has_leader() const;
};

// Asks every address once, and the leader too where its address is told and not among them.
FleetStatus read_fleet_status(ControlClient& client);

// Why nothing can be said of the fleet; nothing where someone answered.
std::optional<Failure> unreachable_failure(const FleetStatus& fleet);

}  // namespace dewweir::program
