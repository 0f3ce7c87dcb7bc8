// `dewweir config history`: lists the accepted versions, oldest first.
#include "api/status.h"
#include "program/answers.h"
#include "program/command.h"
#include "program/json_text.h"
#include "program/text_table.h"

namespace dewweir::program {
namespace {

constexpr const char* history_target = "/v1/history";

void print_json(const Command& command, const std::vector<AcceptedVersion>& versions) {
    JsonText json;
    json.begin_object();
    json.begin_list("versions");
    for (const AcceptedVersion& accepted : versions) {
        json.begin_object();
        json.number("position", accepted.position);
        json.text("version", accepted.version);
        json.text("hash", accepted.hash);
        json.flag("in_force", accepted.in_force);
        if (accepted.bytes) json.number("bytes", *accepted.bytes);
        json.end_object();
    }
    json.end_list();
    json.end_object();
    command.out << json.line();
}

void print(const Command& command, const std::vector<AcceptedVersion>& versions) {
    TextTable table({"POSITION", "VERSION", "HASH", "IN FORCE", "BYTES"});
    for (const AcceptedVersion& accepted : versions) {
        const std::string bytes = accepted.bytes ? std::to_string(*accepted.bytes) : std::string();
        table.add({std::to_string(accepted.position), accepted.version, accepted.hash,
                   accepted.in_force ? "yes" : "no", bytes});
    }
    command.out << table.text();
}

}  // namespace

CommandResult show_history(const Command& command) {
    ControlClient client = command.client();
    const CallResult result = client.call({"GET", history_target});
    if (const auto* const failure = std::get_if<Failure>(&result)) return *failure;
    const HttpResponse& response = std::get<HttpResponse>(result);
    if (response.status != static_cast<int>(api::Status::ok)) return failure_from_response(response);
    const auto versions = parse_history(response.body);
    if (!versions) return Failure{ExitCode::unexpected_answer, "the history cannot be read", {}};
    if (command.arguments.json) {
        print_json(command, *versions);
    } else {
        print(command, *versions);
    }
    return ExitCode::done;
}

}  // namespace dewweir::program
