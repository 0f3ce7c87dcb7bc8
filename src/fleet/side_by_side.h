// Whether gateways under two configurations can serve one fleet at once without counting a customer twice
// over. Pure.
#pragma once

#include <string>
#include <vector>

#include "net/configuration.h"

namespace dewweir::fleet {

// Reasons against it; none where it can be done.
std::vector<std::string> against_side_by_side(const net::Configuration& old, const net::Configuration& fresh);

}  // namespace dewweir::fleet
