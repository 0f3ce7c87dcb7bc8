// Semantic checks of a configuration whose fields were all parsed: rules for each route, references and
// uniqueness between the sections, and whether every part can be served at all.
#pragma once

#include <optional>

#include "configuration/configuration.h"
#include "configuration/parser.h"

namespace dewweir::configuration {

// Returns the first violation found, or nothing for a valid configuration.
std::optional<Rejection> check_configuration(const Configuration& configuration);

// Returns the first part that could never be served: a route without time or host name, a service that
// accepts no connection, a limit that no client can meet. Applied to configurations that operators submit,
// not to the one in force, which an earlier build may have accepted without this check.
std::optional<Rejection> check_servable(const Configuration& configuration);

}  // namespace dewweir::configuration
