// Selects the gateways that a client is directed to: the gateways of its zone; if there are none, those of
// its region; if there are none, gateways of other regions in which the routes of the requested host name may
// be served. Since the client's tenant is not known at that point, of the other regions those are chosen that
// are home to the most tenants. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/route_table.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// Most addresses in one answer.
constexpr std::size_t max_addresses = 64;

// A client's location and the host name that it wants to reach.
struct ResolveQuery {
    std::string hostname;
    std::string region;
    std::string zone;
};

// Where the selected gateways are relative to the client, nearest first.
enum class Proximity : std::uint8_t { zone, region, elsewhere };

struct Resolution {
    Proximity proximity = Proximity::elsewhere;
    std::vector<std::string> addresses;  // front-end addresses, at most `max_addresses`; empty: none found
};

// `self`: the answering gateway's own current state, which takes precedence over its entry in `members`.
// `table`: the routes of the configuration in force; null while there is none: then no client is directed to
// another region. Home regions do not restrict the gateways of the client's own region, since the client is
// already there.
Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const ResolveQuery& query, const configuration::RouteTable* table);

}  // namespace dewweir::gateway
