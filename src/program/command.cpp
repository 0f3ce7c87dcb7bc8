#include "program/command.h"

#include "program/help.h"

namespace dewweir::program {

CommandResult run_command(const Command& command) {
    switch (command.arguments.command) {
        case CommandName::config_get: return get_configuration(command);
        case CommandName::config_put: return put_configuration(command);
        case CommandName::config_diff: return diff_configuration(command);
        case CommandName::config_check: return check_configuration_file(command);
        case CommandName::config_history: return show_history(command);
        case CommandName::evacuate: return evacuate(command);
        case CommandName::members: return show_members(command);
        case CommandName::status: return show_status(command);
        case CommandName::explain_settings: return explain_settings(command);
        case CommandName::check_settings: return check_settings(command);
        case CommandName::help: command.out << help_text(); return ExitCode::done;
        case CommandName::version:
            command.out << "dewweir " << program_version << "\n";
            return ExitCode::done;
    }
    return Failure{};
}

}  // namespace dewweir::program
