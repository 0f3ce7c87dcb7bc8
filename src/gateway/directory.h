// Which gateways a client is sent to: those of its zone, else of its region, else those of other regions, as
// far as the routes of the host that it asks for may be served there. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/home_regions.h"
#include "wire/messages.h"

namespace dewweir::gateway {

constexpr std::size_t most_addresses = 64;

struct ClientPlace {
    std::string region;
    std::string zone;
};

// How far from a client the gateways are that it is sent to, the nearest first.
enum class Reach : std::uint8_t { zone, region, elsewhere };

struct Resolution {
    Reach reach = Reach::elsewhere;
    std::vector<std::string> addresses;  // `front` addresses, at most `most_addresses`; empty: none will do
};

// `self`: the answering gateway as it is now, whatever the members say of it. `homes`: of the routes of the
// client's host. A client may always be sent to gateways of its own region: it is there.
Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const ClientPlace& place, const configuration::HomeRegions& homes);

}  // namespace dewweir::gateway
