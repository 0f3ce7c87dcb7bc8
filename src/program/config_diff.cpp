// `dewweir config diff FILE`: shows what putting the file in force would change. API keys are counted, never
// printed.
#include "program/command.h"
#include "program/configuration_call.h"
#include "program/configuration_diff.h"
#include "program/json_text.h"

namespace dewweir::program {
namespace {

constexpr std::string_view empty_configuration = "{}";

void print(const Command& command, const Difference& difference) {
    command.out << to_string(difference.kind) << " " << difference.path;
    switch (difference.kind) {
        case DifferenceKind::added:
            if (!difference.after.empty()) command.out << ": " << difference.after;
            break;
        case DifferenceKind::removed:
            if (!difference.before.empty()) command.out << ": " << difference.before;
            break;
        case DifferenceKind::changed:
            command.out << ": " << difference.before << " -> " << difference.after;
            break;
    }
    command.out << "\n";
}

void print_json(const Command& command, const std::vector<Difference>& differences) {
    JsonText json;
    json.begin_object();
    json.begin_list("differences");
    for (const Difference& difference : differences) {
        json.begin_object();
        json.text("kind", to_string(difference.kind));
        json.text("path", difference.path);
        json.text("before", difference.before);
        json.text("after", difference.after);
        json.end_object();
    }
    json.end_list();
    json.end_object();
    command.out << json.line();
}

}  // namespace

CommandResult diff_configuration(const Command& command) {
    const auto file = read_configuration_file(command.arguments.operand);
    if (const auto* const failure = std::get_if<Failure>(&file)) return *failure;
    ControlClient client = command.client();
    const auto read = read_in_force(client);
    if (const auto* const failure = std::get_if<Failure>(&read)) return *failure;
    const ConfigurationInForce& in_force = std::get<ConfigurationInForce>(read);
    const std::string before =
        in_force.version.number == 0 ? std::string(empty_configuration) : in_force.text;
    const auto differences = compare_configurations(before, std::get<CheckedFile>(file).text);
    if (!differences)
        return Failure{ExitCode::unexpected_answer, "the configuration in force is no JSON", {}};
    if (command.arguments.json) {
        print_json(command, *differences);
    } else {
        for (const Difference& difference : *differences) print(command, difference);
        if (differences->empty()) command.out << "no differences\n";
    }
    return differences->empty() ? ExitCode::done : ExitCode::differs;
}

}  // namespace dewweir::program
