// Checks of a configuration whose fields were all read: what each route must hold to, and what holds between
// the parts.
#pragma once

#include <optional>

#include "configuration/configuration.h"
#include "configuration/parser.h"

namespace dewweir::configuration {

// The first thing that is wrong.
std::optional<Rejection> check_configuration(const Configuration& configuration);

}  // namespace dewweir::configuration
