// Routes a request by the configuration in force: determines its route, its tenant, its service and the
// regions that may serve it. Performs no I/O.
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

// Why a request is rejected before a host is chosen. Each error has its own response.
enum class RoutingError : std::uint8_t {
    no_configuration,  // this gateway has no configuration yet
    no_route,
    unknown_key,       // the route requires an API key, and the request has none or an unknown one
    no_common_region,  // the home regions of the route and of the tenant have no region in common
};

struct RoutedRequest {
    const configuration::Route* route = nullptr;
    const configuration::Tenant* tenant = nullptr;  // null: anonymous
    PoolKey pool;
};

using RoutingResult = std::variant<RoutedRequest, RoutingError>;

// The parts of a request that decide its routing.
struct RoutingInput {
    std::string_view host;           // Host header
    std::string_view target;         // path and query
    std::string_view authorization;  // Authorization header
    std::string_view attempt_id;     // selects among weighted services
};

// `table`: the routes of the configuration in force; null while there is none. The result points into it.
RoutingResult route_request(const configuration::RouteTable* table, const RoutingInput& input);

// The regions in which a request of this route and tenant may be served, sorted; empty: all regions. Nothing
// if the home regions of the two have no region in common.
std::optional<std::vector<std::string>> allowed_regions(const configuration::Route& route,
                                                        const configuration::Tenant* tenant);

}  // namespace dewweir::gateway
