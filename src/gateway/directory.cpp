#include "gateway/directory.h"

#include <utility>

namespace dewweir::gateway {
namespace {

// With fewer gateways than this in its zone a client is told those of its region too.
constexpr std::size_t enough_addresses = 1;

}  // namespace

Resolution resolve(const std::map<std::string, wire::Member>& members, const ClientPlace& place) {
    std::vector<std::string> in_zone;
    std::vector<std::string> in_region;
    std::vector<std::string> all;
    for (const auto& [node, member] : members) {
        if (member.role != wire::Role::gateway || !member.ready || member.front.empty()) continue;
        all.push_back(member.front);
        if (member.region == place.region) in_region.push_back(member.front);
        if (member.zone == place.zone) in_zone.push_back(member.front);
    }
    Resolution resolution{Reach::elsewhere, std::move(all)};
    if (!in_region.empty()) resolution = {Reach::region, std::move(in_region)};
    if (in_zone.size() >= enough_addresses) resolution = {Reach::zone, std::move(in_zone)};
    if (resolution.addresses.size() > most_addresses) resolution.addresses.resize(most_addresses);
    return resolution;
}

}  // namespace dewweir::gateway
