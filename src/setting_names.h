// Turns the names of the settings object, as operators and simulator write them, into our words. Both
// programs read their settings through it. It must never judge a value: the module reads what it needs, where
// it needs it.
#pragma once

#include <string>

#include "dewweir/decisions.h"

namespace dewweir {

// Puts one setting, named by its path ("profiles.0.goalTime"), under our name for it
// ("tracks.0.latency_goal").
void put_setting(Settings& settings, const std::string& path, const std::string& value);
// The same for lines of path=value.
Settings settings_of_lines(const std::string& lines);
// The operators' path for a name of ours, for messages to them.
std::string operator_name(const std::string& ours);

}  // namespace dewweir
