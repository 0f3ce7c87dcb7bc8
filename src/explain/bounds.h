// Explains to operators, as text tables, which limits follow from the bounds of the platform's invariants for
// each tenant and service of a configuration. Owns the wording; reads no file, socket or clock.
#pragma once

#include <string>

#include "configuration/configuration.h"
#include "settings/settings.h"

namespace dewweir::explain {

// Returns the tables. `gateways`: number of gateways that share the quotas; values below 1 count as 1.
// docs/limits-over-all-gateways.md derives the figures.
std::string explain_bounds(const settings::Settings& settings,
                           const configuration::Configuration& configuration, int gateways);

}  // namespace dewweir::explain
