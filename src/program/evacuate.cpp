// `dewweir evacuate ZONE [--undo]`: stops all requests to the hosts of a zone, or withdraws the evacuation.
#include <algorithm>

#include "api/status.h"
#include "program/answers.h"
#include "program/command.h"
#include "program/fleet_status.h"
#include "program/json_text.h"

namespace dewweir::program {
namespace {

constexpr const char* evacuation_target = "/v1/evacuation/";

// Whether a member or a host is in the zone.
bool knows_zone(const Status& status, const std::string& zone) {
    const auto& zones = status.instance_zones;
    if (std::find(zones.begin(), zones.end(), zone) != zones.end()) return true;
    return std::any_of(status.members.begin(), status.members.end(),
                       [&zone](const MemberStatus& member) { return member.zone == zone; });
}

// Only a warning: a zone that has lost all its hosts and members may be evacuated, but a misspelt name is
// more likely.
void warn_of_unknown_zone(const Command& command, ControlClient& client) {
    const FleetStatus fleet = read_fleet_status(client);
    const ControlPlaneStatus* const most_current = fleet.most_current();
    if (!most_current || knows_zone(*most_current->status, command.arguments.operand)) return;
    command.error << "dewweir: warning: no member and no instance is in zone " << command.arguments.operand
                  << "\n  what to do: check the name; dewweir members lists zones; --undo withdraws\n";
}

void report(const Command& command) {
    const Arguments& arguments = command.arguments;
    if (arguments.json) {
        JsonText json;
        json.begin_object();
        json.text("zone", arguments.operand);
        json.flag("evacuated", !arguments.undo);
        json.end_object();
        command.out << json.line();
        return;
    }
    command.out << "zone " << arguments.operand;
    command.out << (arguments.undo ? " is no longer evacuated\n" : " is evacuated\n");
}

}  // namespace

CommandResult evacuate(const Command& command) {
    ControlClient client = command.client();
    const std::string target = evacuation_target + command.arguments.operand;
    const CallResult result = client.call({command.arguments.undo ? "DELETE" : "POST", target});
    if (const auto* const failure = std::get_if<Failure>(&result)) return *failure;
    const HttpResponse& response = std::get<HttpResponse>(result);
    if (response.status != static_cast<int>(api::Status::ok)) return failure_from_response(response);
    report(command);
    if (!command.arguments.undo) warn_of_unknown_zone(command, client);
    return ExitCode::done;
}

}  // namespace dewweir::program
