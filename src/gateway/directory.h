// Which gateways a client is sent to: those of its zone, else of its region, else all that take new clients.
// Pure.
#pragma once

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

// `front` addresses, at most `most_addresses`.
std::vector<std::string> resolve(const std::map<std::string, wire::Member>& members,
                                 const ClientPlace& place);

}  // namespace dewweir::gateway
