// Why a command failed: text for a person, and the exit code.
#pragma once

#include <string>

#include "program/exit_codes.h"

namespace dewweir::program {

// A failed command.
struct Failure {
    ExitCode code = ExitCode::usage;
    std::string reason;
    std::string advice;  // what to do; if empty, the advice of the exit code is used
};

// Text for a person, or one line of JSON: {"error":...,"advice":...,"exit_code":...}.
std::string describe_failure(const Failure& failure, bool as_json);

}  // namespace dewweir::program
