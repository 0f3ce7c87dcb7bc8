// One gateway process: wires settings, control session, proxy, counters, directory and readiness together.
// Decides nothing.
#pragma once

#include <string>

#include "settings/settings.h"

namespace dewweir::gateway {

// Serves until SIGTERM and what it has taken is answered. `path`: of the settings file, read again on SIGHUP.
// Returns the process's exit code.
int run(const settings::Settings& settings, const std::string& path);

}  // namespace dewweir::gateway
