// The processes that the platform runs: `dewweir gateway` and `dewweir control-plane`.
#pragma once

namespace dewweir::program {

// Whether the command line is one of the platform's: it begins with a role, or with the settings file's
// option.
bool names_role(int argc, const char* const* argv);

// Serves until it is stopped; returns the exit code.
int run_role(int argc, const char* const* argv);

}  // namespace dewweir::program
