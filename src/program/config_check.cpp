// `dewweir config check FILE`: validates a configuration file without calling a control plane.
#include "program/command.h"
#include "program/configuration_call.h"
#include "program/json_text.h"

namespace dewweir::program {

CommandResult check_configuration_file(const Command& command) {
    const auto file = read_configuration_file(command.arguments.operand);
    if (const auto* const failure = std::get_if<Failure>(&file)) return *failure;
    const configuration::Configuration& configuration = std::get<CheckedFile>(file).configuration;
    if (command.arguments.json) {
        JsonText json;
        json.begin_object();
        json.text("version", to_string(configuration.epoch));
        json.number("routes", configuration.routes.size());
        json.number("services", configuration.services.size());
        json.number("tenants", configuration.tenants.size());
        json.end_object();
        command.out << json.line();
        return ExitCode::done;
    }
    command.out << command.arguments.operand << ": valid: version " << to_string(configuration.epoch) << ", ";
    command.out << configuration.routes.size() << " routes, " << configuration.services.size()
                << " services, ";
    command.out << configuration.tenants.size() << " tenants\n";
    return ExitCode::done;
}

}  // namespace dewweir::program
