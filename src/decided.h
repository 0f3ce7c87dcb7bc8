// The words for what the decision module decided, as the log's line that counts them has them.
#pragma once

#include <string>

#include "dewweir/decisions.h"

namespace dewweir {

const char* word_for(Decision decision);
// `decided: counted in 5, late 1`; empty where nothing was.
std::string decided_line(const DecisionCounts& often);

}  // namespace dewweir
