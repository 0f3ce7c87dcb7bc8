// Translates the names of settings, as operators and the simulator write them, into the names that the
// program uses. Both programs read their settings through it. Values are only translated, not checked: the
// module that reads a setting does that.
#pragma once

#include <string>

#include "dewweir/decisions.h"

namespace dewweir {

// Stores one setting, given by its external path ("profiles.0.goalTime"), under its internal name
// ("tracks.0.latency_goal"). Names that the table does not have stay as they are.
void put_setting(Settings& settings, const std::string& path, const std::string& value);
// Reads lines of path=value; other lines are skipped.
Settings settings_of_lines(const std::string& lines);
// The external path of an internal name, for messages to operators.
std::string operator_name(const std::string& internal_name);

}  // namespace dewweir
