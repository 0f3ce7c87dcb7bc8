// `dewweir config get`: prints the configuration in force, byte for byte as it was submitted.
#include "program/command.h"
#include "program/configuration_call.h"

namespace dewweir::program {

CommandResult get_configuration(const Command& command) {
    ControlClient client = command.client();
    const auto in_force = read_in_force(client);
    if (const auto* const failure = std::get_if<Failure>(&in_force)) return *failure;
    const ConfigurationInForce& configuration = std::get<ConfigurationInForce>(in_force);
    if (configuration.version.number == 0) {
        return Failure{ExitCode::no_configuration, "no configuration is in force", {}};
    }
    command.out << configuration.text;
    if (!configuration.text.ends_with('\n')) command.out << "\n";
    return ExitCode::done;
}

}  // namespace dewweir::program
