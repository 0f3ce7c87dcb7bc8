// Why a command failed, in words for a person, and the exit code that goes with it.
#pragma once

#include <string>

#include "program/exit_codes.h"

namespace dewweir::program {

struct Failure {
    ExitCode code = ExitCode::usage;
    std::string reason;
    std::string advice;  // empty: the one of the exit code
};

// One line for a person, or one JSON object: {"error":...,"advice":...,"exit_code":...}.
std::string describe_failure(const Failure& failure, bool as_json);

}  // namespace dewweir::program
