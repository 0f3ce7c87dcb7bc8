// Entry points of the long-running processes: `dewweir gateway` and `dewweir control-plane`.
#pragma once

namespace dewweir::program {

// Whether the command line starts a long-running process: its first word is a role or the option for the
// settings file.
bool names_role(int argc, const char* const* argv);

// Runs the process until it is stopped; returns its exit code.
int run_role(int argc, const char* const* argv);

}  // namespace dewweir::program
