// The regions that routes and tenants may be served in: all, until lists of homes restrict them. Pure.
#pragma once

#include <optional>
#include <vector>

#include "configuration/configuration.h"

namespace dewweir::configuration {

// Sorted; nothing: all regions. An empty list: none.
using HomeRegions = std::optional<std::vector<RegionName>>;

// Leaves those regions that are also among `homes`. An empty `homes` restricts nothing.
void restrict_to(HomeRegions& regions, std::vector<RegionName> homes);

bool allows(const HomeRegions& regions, const RegionName& region);

}  // namespace dewweir::configuration
