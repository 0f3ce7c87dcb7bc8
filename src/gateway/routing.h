// Where a request may go by the configuration in force: its route, its tenant, the service and the regions.
// Pure.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/route_table.h"
#include "gateway/service_pool.h"

namespace dewweir::gateway {

// Why a request is refused before any host is chosen; each has one answer.
enum class RoutingError : std::uint8_t {
    no_configuration,  // none is in force here yet
    no_route,
    unknown_key,
    no_home,  // its route's homes and its tenant's have no region in common
};

struct Routed {
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;  // null: anonymous
    PoolKey pool;
};

using RoutingResult = std::variant<Routed, RoutingError>;

struct RequestAddress {
    std::string_view host;           // the Host header
    std::string_view target;         // path and query
    std::string_view authorization;  // its header
    std::string_view attempt_id;     // chooses among weighted services
};

// `table`: of the configuration in force, null for none.
RoutingResult route_request(const configuration::RouteTable* table, const RequestAddress& address);

// The regions that a request of this route and tenant may be served in, sorted; empty: all. Nothing where
// they have none in common.
std::optional<std::vector<std::string>> allowed_regions(const configuration::Route& route,
                                                        const configuration::Tenant* tenant);

}  // namespace dewweir::gateway
