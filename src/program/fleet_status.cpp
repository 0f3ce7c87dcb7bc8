#include "program/fleet_status.h"

#include <algorithm>
#include <tuple>

#include "api/status.h"

namespace dewweir::program {
namespace {

constexpr const char* status_target = "/v1/status";

ControlPlaneStatus parse_result(const EndpointResult& result) {
    ControlPlaneStatus control_plane{result.address, std::nullopt};
    if (const auto* const error = std::get_if<ExchangeError>(&result.result)) {
        control_plane.error = to_string(*error);
        return control_plane;
    }
    const HttpResponse& response = std::get<HttpResponse>(result.result);
    if (response.status != static_cast<int>(api::Status::ok)) {
        control_plane.error = "status " + std::to_string(response.status);
        return control_plane;
    }
    control_plane.status = parse_status(response.body);
    if (!control_plane.status) control_plane.error = "an answer that cannot be read";
    return control_plane;
}

// Orders control planes by how current their status is: those without a readable status first, then by
// leader, term and commit index.
bool less_current(const ControlPlaneStatus& left, const ControlPlaneStatus& right) {
    if (!left.status || !right.status) return !left.status && right.status;
    const auto key = [](const Status& status) {
        return std::make_tuple(status.leads, status.term, status.commit_index);
    };
    return key(*left.status) < key(*right.status);
}

// Address of the leader if it was not called yet.
std::optional<ControlAddress> uncalled_leader(const FleetStatus& fleet) {
    const ControlPlaneStatus* const most_current = fleet.most_current();
    if (!most_current || most_current->status->leads) return std::nullopt;
    std::optional<ControlAddress> leader = parse_control_address(most_current->status->leader_control);
    if (!leader) return std::nullopt;
    for (const ControlPlaneStatus& called : fleet.control_planes) {
        if (called.address == *leader) return std::nullopt;
    }
    return leader;
}

}  // namespace

const ControlPlaneStatus* FleetStatus::most_current() const {
    const auto found = std::max_element(control_planes.begin(), control_planes.end(), less_current);
    return found == control_planes.end() || !found->status ? nullptr : &*found;
}

bool FleetStatus::has_leader() const {
    const ControlPlaneStatus* const found = most_current();
    return found && found->status->leads;
}

FleetStatus read_fleet_status(ControlClient& client) {
    FleetStatus fleet;
    for (const EndpointResult& result : client.call_each_once({"GET", status_target})) {
        fleet.control_planes.push_back(parse_result(result));
    }
    if (const auto leader = uncalled_leader(fleet)) {
        fleet.control_planes.push_back(parse_result(client.call_once(*leader, {"GET", status_target})));
    }
    return fleet;
}

std::optional<Failure> unreachable_failure(const FleetStatus& fleet) {
    if (fleet.most_current()) return std::nullopt;
    std::string reason = "no control plane answers:";
    for (const ControlPlaneStatus& control_plane : fleet.control_planes) {
        reason.append(" ")
            .append(to_string(control_plane.address))
            .append(" (")
            .append(control_plane.error)
            .append(")");
    }
    return Failure{ExitCode::unreachable, reason, {}};
}

}  // namespace dewweir::program
