// Charts of results, drawn by gnuplot. It must never change a figure: what is drawn is what was counted.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "load.h"

namespace dewweir::rig {

// A trial's seconds, with its events, as SVG. Says in a line what became of it: where it is, or why there is
// none.
std::string draw_trial(const Load& load, const std::vector<std::pair<double, std::string>>& events,
                       const std::string& file);

}  // namespace dewweir::rig
