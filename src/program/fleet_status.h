// Collects the status of every control plane and chooses the most current one.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "program/answers.h"
#include "program/control_client.h"

namespace dewweir::program {

// What one control plane answered.
struct ControlPlaneStatus {
    ControlAddress address;
    std::optional<Status> status;  // absent if there was no readable response
    std::string error{};           // why `status` is absent, for a person to read
};

// The answers of all control planes.
struct FleetStatus {
    std::vector<ControlPlaneStatus> control_planes;

    // The leader of the highest term; without a leader, the control plane with the highest term and then the
    // highest commit index; null if no control plane answered.
    const ControlPlaneStatus* most_current() const;
    // Whether a leader answered.
    bool has_leader() const;
};

// Queries every address of the client once, and the leader as well if the answers name an address for it that
// is not among them.
FleetStatus read_fleet_status(ControlClient& client);

// A failure (ExitCode::unreachable) if no control plane answered; otherwise nothing.
std::optional<Failure> unreachable_failure(const FleetStatus& fleet);

}  // namespace dewweir::program
