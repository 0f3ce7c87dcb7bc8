#include "gateway/routing.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dewweir::gateway {
namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

std::string_view api_key_of(std::string_view authorization) {
    if (!authorization.starts_with(bearer_prefix)) return {};
    authorization.remove_prefix(bearer_prefix.size());
    while (authorization.starts_with(' ')) authorization.remove_prefix(1);
    return authorization;
}

// Hashes the id to a number in [0, 1) that is the same at every gateway.
double hash_fraction(std::string_view attempt_id) {
    constexpr double buckets = 1u << 24;
    return static_cast<double>(XXH3_64bits(attempt_id.data(), attempt_id.size()) >> 40) / buckets;
}

const std::string& choose_service(const configuration::Route& route, std::string_view attempt_id) {
    double sum = 0;
    for (const configuration::WeightedBackend& backend : route.backends) sum += backend.weight;
    double remaining = hash_fraction(attempt_id) * sum;
    for (const configuration::WeightedBackend& backend : route.backends) {
        if (backend.weight <= 0) continue;
        if (remaining < backend.weight) return backend.service;
        remaining -= backend.weight;
    }
    const auto last = std::find_if(route.backends.rbegin(), route.backends.rend(),
                                   [](const auto& backend) { return backend.weight > 0; });
    return last->service;
}

}  // namespace

std::optional<std::vector<std::string>> allowed_regions(const configuration::Route& route,
                                                        const configuration::Tenant* tenant) {
    configuration::HomeRegions homes;
    configuration::restrict_to(homes, route.home_regions);
    if (tenant) configuration::restrict_to(homes, tenant->home_regions);
    if (!homes) return std::vector<std::string>();
    if (homes->empty()) return std::nullopt;
    return homes;
}

RoutingResult route_request(const configuration::RouteTable* table, const RoutingInput& input) {
    if (!table) return RoutingError::no_configuration;
    RoutedRequest routed;
    const std::string_view path = input.target.substr(0, input.target.find('?'));
    routed.route = table->find(input.host, path);
    if (!routed.route) return RoutingError::no_route;
    const std::string_view key = api_key_of(input.authorization);
    if (!key.empty()) routed.tenant = table->find_tenant(key);
    const bool needs_key = table->configuration().has_tenants && !routed.route->anonymous;
    if (needs_key && !routed.tenant) return RoutingError::unknown_key;
    auto regions = allowed_regions(*routed.route, routed.tenant);
    if (!regions) return RoutingError::no_common_region;
    routed.pool = {choose_service(*routed.route, input.attempt_id), std::move(*regions)};
    return routed;
}

}  // namespace dewweir::gateway
