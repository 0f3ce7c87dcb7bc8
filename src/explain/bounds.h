// What the bounds of the rules come to for each tenant and service of a configuration, as a table for
// operators. Owns its wording; must never read a file, a socket or a clock.
#pragma once

#include <string>

#include "configuration/configuration.h"
#include "settings/settings.h"

namespace dewweir::explain {

// The table. `gateways`: how many share the quotas, 1 at least. docs/limits-over-all-gateways.md derives its
// figures.
std::string explain_bounds(const settings::Settings& settings,
                           const configuration::Configuration& configuration, int gateways);

}  // namespace dewweir::explain
