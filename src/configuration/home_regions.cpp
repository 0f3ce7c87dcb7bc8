#include "configuration/home_regions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dewweir::configuration {

void restrict_to(HomeRegions& regions, std::vector<RegionName> homes) {
    if (homes.empty()) return;
    std::sort(homes.begin(), homes.end());
    if (!regions) {
        regions = std::move(homes);
        return;
    }
    std::vector<RegionName> common;
    std::set_intersection(regions->begin(), regions->end(), homes.begin(), homes.end(),
                          std::back_inserter(common));
    regions = std::move(common);
}

bool allows(const HomeRegions& regions, const RegionName& region) {
    return !regions || std::binary_search(regions->begin(), regions->end(), region);
}

}  // namespace dewweir::configuration
