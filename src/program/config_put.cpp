// `dewweir config put FILE`: validates the file, then submits it as the successor of the version in force, or
// of the version given by --if-match.
#include "api/status.h"
#include "configuration/parser.h"
#include "program/answers.h"
#include "program/command.h"
#include "program/configuration_call.h"
#include "program/json_text.h"

namespace dewweir::program {
namespace {

using configuration::Version;

// The version that the file replaces. Without --if-match it is the version in force, and the file must either
// be newer or identical to it: the control planes would acknowledge a file that they accepted earlier without
// putting it in force again.
std::variant<Version, Failure> base_version(const Command& command, ControlClient& client,
                                            const CheckedFile& file) {
    if (command.arguments.if_match) return *command.arguments.if_match;
    const auto read = read_in_force(client);
    if (const auto* const failure = std::get_if<Failure>(&read)) return *failure;
    const ConfigurationInForce& in_force = std::get<ConfigurationInForce>(read);
    if (in_force.text == file.text) return in_force.version;
    const auto rejection = configuration::check_follows(file.configuration, in_force.version);
    if (!rejection) return in_force.version;
    const std::string reason(to_string(rejection->reason));
    return Failure{ExitCode::bad_configuration,
                   command.arguments.operand + ": " + reason + " at " + rejection->path + ": version " +
                       to_string(in_force.version) + " is in force",
                   rejection->advice};
}

void report(const Command& command, Version version, Version base) {
    if (command.arguments.json) {
        JsonText json;
        json.begin_object();
        json.text("version", to_string(version));
        json.text("base", to_string(base));
        json.end_object();
        command.out << json.line();
        return;
    }
    command.out << "version " << to_string(version);
    if (version == base) {
        command.out << " is in force already\n";
        return;
    }
    command.out << " was accepted, on top of " << (base.number == 0 ? "none" : to_string(base)) << "\n";
}

}  // namespace

CommandResult put_configuration(const Command& command) {
    const auto file = read_configuration_file(command.arguments.operand);
    if (const auto* const failure = std::get_if<Failure>(&file)) return *failure;
    const CheckedFile& checked = std::get<CheckedFile>(file);
    ControlClient client = command.client();
    const auto base = base_version(command, client, checked);
    if (const auto* const failure = std::get_if<Failure>(&base)) return *failure;
    const Version base_number = std::get<Version>(base);
    const CallResult result =
        client.call({"PUT", configuration_target, to_string(base_number), checked.text});
    if (const auto* const failure = std::get_if<Failure>(&result)) return *failure;
    const HttpResponse& response = std::get<HttpResponse>(result);
    if (response.status != static_cast<int>(api::Status::ok)) return failure_from_response(response);
    report(command, checked.configuration.epoch, base_number);
    return ExitCode::done;
}

}  // namespace dewweir::program
