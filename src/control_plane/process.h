// One control plane process: wires settings, log, fleet server, poller and operator API together. Decides
// nothing.
#pragma once

#include "settings/settings.h"

namespace dewweir::control_plane {

// Serves until SIGTERM. Returns the process's exit code.
int run(const settings::Settings& settings, const std::string& path);

}  // namespace dewweir::control_plane
