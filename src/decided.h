// The words for what a Choice decided, as the log's line that counts them has them.
#pragma once

#include <string>

#include "dewweir/choice.h"

namespace dewweir {

const char* word_for(Decision decision);
// `decided: counted in 5, late 1`; empty where nothing was.
std::string decided_line(const Decided& often);

}  // namespace dewweir
