// Which gateways a client is sent to: those of its zone, else of its region, else all that take new clients.
// Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

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
    std::vector<std::string> addresses;  // `front` addresses, at most `most_addresses`
};

Resolution resolve(const std::map<std::string, wire::Member>& members, const ClientPlace& place);

}  // namespace dewweir::gateway
