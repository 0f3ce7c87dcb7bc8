// One gateway process: creates the control session, proxy, quota client, directory and readiness servers from
// the settings and connects them. Takes no decisions of its own.
#pragma once

#include <string>

#include "settings/settings.h"

namespace dewweir::gateway {

// Serves until SIGTERM, then until the accepted requests are answered. `path`: the settings file, which is
// reloaded on SIGHUP. Returns the exit code of the process.
int run(const settings::Settings& settings, const std::string& path);

}  // namespace dewweir::gateway
