// Command `dewweir explain-bounds`: reads the settings file and a configuration, and prints the limits that
// follow from the bounds of the platform's invariants.
#pragma once

namespace dewweir::program {

constexpr const char* explain_command_name = "explain-bounds";

// `argv[0]` is the command's name. Returns the exit code: done, usage, unreadable_file, bad_settings or
// bad_configuration.
int explain_command(int argc, char** argv);

}  // namespace dewweir::program
