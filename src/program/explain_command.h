// The sub-command `dewweir explain-bounds`: reads its two files and prints what the rules' bounds come to.
#pragma once

namespace dewweir::program {

constexpr const char* explain_command_name = "explain-bounds";

// `argv[0]` is the sub-command's name. Returns the exit status: 0, 2 for a file that can't be read or is
// refused, 64 for wrong usage.
int explain_command(int argc, char** argv);

}  // namespace dewweir::program
