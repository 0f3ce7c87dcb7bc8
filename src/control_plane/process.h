// One control plane process: connects settings, replicated log, fleet server, instance poller and operator
// API. Contains no decisions of its own beyond the order of start and shutdown.
#pragma once

#include "settings/settings.h"

namespace dewweir::control_plane {

// Serves until SIGTERM or SIGINT and reloads the settings file `path` on SIGHUP. Returns the process's exit
// code: 0, or 1 if an address can't be bound.
int run(const settings::Settings& settings, const std::string& path);

}  // namespace dewweir::control_plane
