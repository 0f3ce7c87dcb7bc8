// Checks of a configuration whose fields were all read: what each route must hold to, what holds between the
// parts, and whether everything in it can be served at all.
#pragma once

#include <optional>

#include "configuration/configuration.h"
#include "configuration/parser.h"

namespace dewweir::configuration {

// The first thing that is wrong.
std::optional<Rejection> check_configuration(const Configuration& configuration);

// The first thing that would be in force and could never be served: a route without time or host name, a
// service that takes no connection, a limit that no client can keep. Asked of what operators send, not of
// what is in force: an earlier build may have taken it.
std::optional<Rejection> check_servable(const Configuration& configuration);

}  // namespace dewweir::configuration
