// The operator's commands, each implemented in its own file. A command writes its result to `out` and returns
// its exit code, or a failure that main prints.
#pragma once

#include <ostream>
#include <variant>

#include "program/arguments.h"
#include "program/control_client.h"

namespace dewweir::program {

// Arguments of a command and everything it needs to run.
struct Command {
    const Arguments& arguments;
    Transport& transport;
    std::ostream& out;
    std::ostream& error;  // for warnings

    ControlClient client() const { return {transport, arguments.controls, arguments.timeout}; }
};

using CommandResult = std::variant<ExitCode, Failure>;

CommandResult get_configuration(const Command& command);
CommandResult put_configuration(const Command& command);
CommandResult diff_configuration(const Command& command);
CommandResult check_configuration_file(const Command& command);
CommandResult show_history(const Command& command);
CommandResult evacuate(const Command& command);
CommandResult show_members(const Command& command);
CommandResult show_status(const Command& command);
CommandResult explain_settings(const Command& command);
CommandResult check_settings(const Command& command);

// Runs the command that the arguments name.
CommandResult run_command(const Command& command);

}  // namespace dewweir::program
