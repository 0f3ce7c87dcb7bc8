#include "gateway/directory.h"

#include <algorithm>

namespace dewweir::gateway {
namespace {

// With fewer gateways than this in its zone a client is told those of its region too.
constexpr std::size_t enough_addresses = 1;

}  // namespace

std::vector<std::string> resolve(const std::map<std::string, wire::Member>& members,
                                 const ClientPlace& place) {
    std::vector<std::string> in_zone;
    std::vector<std::string> in_region;
    std::vector<std::string> all;
    for (const auto& [node, member] : members) {
        if (member.role != wire::Role::gateway || !member.ready || member.front.empty()) continue;
        all.push_back(member.front);
        if (member.region == place.region) in_region.push_back(member.front);
        if (member.zone == place.zone) in_zone.push_back(member.front);
    }
    std::vector<std::string>& chosen = in_zone.size() >= enough_addresses ? in_zone
                                       : !in_region.empty()               ? in_region
                                                                          : all;
    if (chosen.size() > most_addresses) chosen.resize(most_addresses);
    return chosen;
}

}  // namespace dewweir::gateway
