#include "program/fleet_status.h"

#include <algorithm>
#include <tuple>

#include "api/status.h"

namespace dewweir::program {
namespace {

constexpr const char* status_target = "/v1/status";

ControlPlaneStatus read_one(const EndpointAnswer& answer) {
    ControlPlaneStatus one{answer.address, std::nullopt};
    if (const auto* const fault = std::get_if<ExchangeFault>(&answer.result)) {
        one.fault = to_string(*fault);
        return one;
    }
    const HttpResponse& response = std::get<HttpResponse>(answer.result);
    if (response.status != static_cast<int>(api::Status::ok)) {
        one.fault = "status " + std::to_string(response.status);
        return one;
    }
    one.status = parse_status(response.body);
    if (!one.status) one.fault = "an answer that cannot be read";
    return one;
}

// Orders by how much a control plane can be trusted to know.
bool knows_less(const ControlPlaneStatus& left, const ControlPlaneStatus& right) {
    if (!left.status || !right.status) return !left.status && right.status;
    const auto rank = [](const Status& status) {
        return std::make_tuple(status.leads, status.term, status.commit_index);
    };
    return rank(*left.status) < rank(*right.status);
}

std::optional<ControlAddress> unasked_leader(const FleetStatus& fleet) {
    const ControlPlaneStatus* const best = fleet.best();
    if (!best || best->status->leads) return std::nullopt;
    std::optional<ControlAddress> leader = parse_control_address(best->status->leader_control);
    if (!leader) return std::nullopt;
    for (const ControlPlaneStatus& asked : fleet.control_planes) {
        if (asked.address == *leader) return std::nullopt;
    }
    return leader;
}

}  // namespace

const ControlPlaneStatus* FleetStatus::best() const {
    const auto found = std::max_element(control_planes.begin(), control_planes.end(), knows_less);
    return found == control_planes.end() || !found->status ? nullptr : &*found;
}

bool FleetStatus::has_leader() const {
    const ControlPlaneStatus* const found = best();
    return found && found->status->leads;
}

FleetStatus read_fleet_status(ControlClient& client) {
    FleetStatus fleet;
    for (const EndpointAnswer& answer : client.ask_each({"GET", status_target})) {
        fleet.control_planes.push_back(read_one(answer));
    }
    if (const auto leader = unasked_leader(fleet)) {
        fleet.control_planes.push_back(read_one(client.ask(*leader, {"GET", status_target})));
    }
    return fleet;
}

std::optional<Failure> unreachable_failure(const FleetStatus& fleet) {
    if (fleet.best()) return std::nullopt;
    std::string reason = "no control plane answers:";
    for (const ControlPlaneStatus& one : fleet.control_planes) {
        reason.append(" ").append(to_string(one.address)).append(" (").append(one.fault).append(")");
    }
    return Failure{ExitCode::unreachable, reason, {}};
}

}  // namespace dewweir::program
