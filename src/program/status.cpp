// `dewweir status`: shows every control plane, which one leads, and the state of the system as the most
// current control plane knows it.
#include <algorithm>

#include "program/command.h"
#include "program/fleet_status.h"
#include "program/json_text.h"
#include "program/text_table.h"

namespace dewweir::program {
namespace {

struct MemberCounts {
    std::uint64_t gateways = 0;
    std::uint64_t ready_gateways = 0;
    std::uint64_t control_planes = 0;
};

MemberCounts count_members(const Status& status) {
    MemberCounts counts;
    for (const MemberStatus& member : status.members) {
        if (member.role != "gateway") {
            ++counts.control_planes;
            continue;
        }
        ++counts.gateways;
        if (member.ready) ++counts.ready_gateways;
    }
    return counts;
}

std::string milliseconds_text(const std::optional<std::uint64_t>& value) {
    return value ? std::to_string(*value) + " ms" : "";
}

std::string role_of(const Status& status) { return status.leads ? "leader" : "follower"; }

void write_control_plane(JsonText& json, const ControlPlaneStatus& control_plane) {
    json.begin_object();
    json.text("address", to_string(control_plane.address));
    json.flag("answers", control_plane.status.has_value());
    if (!control_plane.status) {
        json.text("fault", control_plane.error);
        return json.end_object();
    }
    json.text("node", control_plane.status->node);
    json.text("role", role_of(*control_plane.status));
    json.number("term", control_plane.status->term);
    json.number("commit_index", control_plane.status->commit_index);
    json.number("applied_index", control_plane.status->applied_index);
    json.text("configuration", control_plane.status->configuration);
    if (control_plane.status->staleness_ms) json.number("staleness_ms", *control_plane.status->staleness_ms);
    json.text("disk", control_plane.status->disk);
    json.end_object();
}

void print_json(const Command& command, const FleetStatus& fleet) {
    const Status& status = *fleet.most_current()->status;
    const MemberCounts counts = count_members(status);
    JsonText json;
    json.begin_object();
    json.text("told_by", status.node);
    json.flag("has_leader", fleet.has_leader());
    json.begin_list("control_planes");
    for (const ControlPlaneStatus& control_plane : fleet.control_planes)
        write_control_plane(json, control_plane);
    json.end_list();
    json.begin_list("replicas");
    for (const ReplicaStatus& replica : status.replicas) {
        json.begin_object();
        json.text("address", replica.address);
        json.text("part", replica.part);
        if (replica.behind) json.number("behind", *replica.behind);
        if (replica.silent_ms) json.number("silent_ms", *replica.silent_ms);
        json.end_object();
    }
    json.end_list();
    json.text("configuration", status.configuration);
    json.begin_list("evacuated_zones");
    for (const std::string& zone : status.evacuated_zones) json.element(zone);
    json.end_list();
    json.begin_object("members");
    json.number("gateways", counts.gateways);
    json.number("ready_gateways", counts.ready_gateways);
    json.number("control_planes", counts.control_planes);
    json.end_object();
    json.begin_list("instances");
    for (const ServiceStatus& service : status.instances) {
        json.begin_object();
        json.text("service", service.service);
        json.number("ready", service.ready);
        json.number("draining", service.draining);
        json.end_object();
    }
    json.end_list();
    json.end_object();
    command.out << json.line();
}

void print_control_planes(const Command& command, const FleetStatus& fleet) {
    TextTable table(
        {"CONTROL PLANE", "NODE", "ROLE", "TERM", "COMMITTED", "APPLIED", "CONFIGURATION", "AGE", "DISK"});
    for (const ControlPlaneStatus& control_plane : fleet.control_planes) {
        if (!control_plane.status) {
            table.add({to_string(control_plane.address), "", control_plane.error});
            continue;
        }
        table.add({to_string(control_plane.address), control_plane.status->node,
                   role_of(*control_plane.status), std::to_string(control_plane.status->term),
                   std::to_string(control_plane.status->commit_index),
                   std::to_string(control_plane.status->applied_index), control_plane.status->configuration,
                   milliseconds_text(control_plane.status->staleness_ms), control_plane.status->disk});
    }
    command.out << table.text();
}

void print_replicas(const Command& command, const Status& status) {
    TextTable table({"REPLICA", "PART", "BEHIND", "UNHEARD"});
    for (const ReplicaStatus& replica : status.replicas) {
        const std::string behind = replica.behind ? std::to_string(*replica.behind) : "";
        table.add({replica.address, replica.part, behind, milliseconds_text(replica.silent_ms)});
    }
    command.out << "\n" << table.text();
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
    return text.empty() ? "none" : text;
}

void print(const Command& command, const FleetStatus& fleet) {
    const Status& status = *fleet.most_current()->status;
    const MemberCounts counts = count_members(status);
    print_control_planes(command, fleet);
    print_replicas(command, status);
    command.out << "\ntold by:          " << status.node << "\n";
    command.out << "configuration:    " << status.configuration << "\n";
    command.out << "evacuated zones:  " << joined(status.evacuated_zones) << "\n";
    command.out << "gateways:         " << counts.ready_gateways << " of " << counts.gateways << " ready\n";
    command.out << "control planes:   " << counts.control_planes << " members\n\n";
    TextTable table({"SERVICE", "READY", "DRAINING"});
    for (const ServiceStatus& service : status.instances) {
        table.add({service.service, std::to_string(service.ready), std::to_string(service.draining)});
    }
    command.out << table.text();
}

}  // namespace

CommandResult show_status(const Command& command) {
    ControlClient client = command.client();
    const FleetStatus fleet = read_fleet_status(client);
    if (auto failure = unreachable_failure(fleet)) return *failure;
    if (command.arguments.json) {
        print_json(command, fleet);
    } else {
        print(command, fleet);
    }
    if (fleet.has_leader()) return ExitCode::done;
    return Failure{ExitCode::no_leader, "no leader answers: what is shown may be old", {}};
}

}  // namespace dewweir::program
