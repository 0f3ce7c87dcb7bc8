// `dewweir members`: lists all gateways and control planes as the leader knows them or, without a leader, as
// the most current control plane knows them.
#include "program/command.h"
#include "program/fleet_status.h"
#include "program/json_text.h"
#include "program/text_table.h"

namespace dewweir::program {
namespace {

void print_json(const Command& command, const Status& status) {
    JsonText json;
    json.begin_object();
    json.text("told_by", status.node);
    json.begin_list("members");
    for (const MemberStatus& member : status.members) {
        json.begin_object();
        json.text("node", member.node);
        json.text("role", member.role);
        json.text("zone", member.zone);
        json.text("region", member.region);
        json.flag("ready", member.ready);
        json.text("internal", member.internal);
        json.text("front", member.front);
        json.text("control", member.control);
        json.end_object();
    }
    json.end_list();
    json.end_object();
    command.out << json.line();
}

// Only gateways serve clients, so readiness is shown for them alone.
std::string readiness(const MemberStatus& member) {
    if (member.role != "gateway") return {};
    return member.ready ? "yes" : "no";
}

void print(const Command& command, const Status& status) {
    TextTable table({"NODE", "ROLE", "ZONE", "REGION", "READY", "INTERNAL", "FRONT", "CONTROL"});
    for (const MemberStatus& member : status.members) {
        table.add({member.node, member.role, member.zone, member.region, readiness(member), member.internal,
                   member.front, member.control});
    }
    command.out << table.text();
}

}  // namespace

CommandResult show_members(const Command& command) {
    ControlClient client = command.client();
    const FleetStatus fleet = read_fleet_status(client);
    if (auto failure = unreachable_failure(fleet)) return *failure;
    const Status& status = *fleet.most_current()->status;
    if (command.arguments.json) {
        print_json(command, status);
    } else {
        print(command, status);
    }
    if (fleet.has_leader()) return ExitCode::done;
    return Failure{ExitCode::no_leader,
                   "no leader answers: these members are as " + status.node + " last knew them",
                   {}};
}

}  // namespace dewweir::program
