// Set of regions that may serve a route or a tenant: all regions, unless lists of home regions restrict it.
// Pure functions.
#pragma once

#include <optional>
#include <vector>

#include "configuration/configuration.h"

namespace dewweir::configuration {

// Sorted names. Absent: all regions are allowed. An empty list: no region is allowed.
using HomeRegions = std::optional<std::vector<RegionName>>;

// Intersects `regions` with `homes`. An empty `homes` means no restriction and changes nothing.
void restrict_to(HomeRegions& regions, std::vector<RegionName> homes);

// Whether `region` is in the set.
bool allows(const HomeRegions& regions, const RegionName& region);

}  // namespace dewweir::configuration
