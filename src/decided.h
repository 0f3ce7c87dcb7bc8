// The log line that counts what the decision module decided.
#pragma once

#include <string>

#include "dewweir/decisions.h"

namespace dewweir {

// The decision as it is written in the line; tools read these texts.
const char* log_name(Decision decision);

// For example "decided: counted in 5, late 1"; empty if all counts are 0.
std::string decided_line(const DecisionCounts& counts);

}  // namespace dewweir
