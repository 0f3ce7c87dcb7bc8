// Which gateways a client is sent to: those of its zone, else of its region, else those of other regions, as
// far as the routes of the host that it asks for may be served there, and of these the regions that are a
// home to the most tenants, since whose the client is it does not say. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/route_table.h"
#include "wire/messages.h"

namespace dewweir::gateway {

constexpr std::size_t most_addresses = 64;

// Who asks, and for what.
struct Client {
    std::string hostname;
    std::string region;
    std::string zone;
};

// How far from a client the gateways are that it is sent to, the nearest first.
enum class Reach : std::uint8_t { zone, region, elsewhere };

struct Resolution {
    Reach reach = Reach::elsewhere;
    std::vector<std::string> addresses;  // `front` addresses, at most `most_addresses`; empty: none will do
};

// `self`: the answering gateway as it is now, whatever the members say of it. `table`: of the configuration
// in force; null for none, and then nobody is sent out of its region. To gateways of its own region a client
// may always be sent: it is there.
Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const Client& client, const configuration::RouteTable* table);

}  // namespace dewweir::gateway
