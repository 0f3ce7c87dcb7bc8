// Routing of requests: one case for each routing error, the choice of weighted services, home regions.
#include "gateway/routing.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

configuration::Route route_to(const std::string& prefix,
                              std::vector<configuration::WeightedBackend> backends) {
    configuration::Route route;
    route.name = prefix;
    route.hostname = "shop.example";
    route.path_prefix = prefix;
    route.backends = std::move(backends);
    return route;
}

configuration::Tenant tenant_with(const std::string& key, std::vector<std::string> homes = {}) {
    configuration::Tenant tenant;
    tenant.name = "tenant of " + key;
    tenant.api_keys = {key};
    tenant.home_regions = std::move(homes);
    return tenant;
}

configuration::RouteTable table_of(configuration::Configuration configuration) {
    return configuration::RouteTable(
        std::make_shared<const configuration::Configuration>(std::move(configuration)));
}

// Tenants "eu" (home region eu) and "any"; routes "/" for all, "/us/" with home regions us and asia, "/open/"
// that needs no key.
configuration::RouteTable some_table() {
    configuration::Configuration configuration;
    configuration.has_tenants = true;
    configuration.tenants = {tenant_with("eu-key", {"eu"}), tenant_with("any-key")};
    configuration.routes = {route_to("/", {{"web", 1}}), route_to("/us/", {{"cart", 1}}),
                            route_to("/open/", {{"open", 1}})};
    configuration.routes[1].home_regions = {"us", "asia"};
    configuration.routes[2].anonymous = true;
    return table_of(std::move(configuration));
}

RoutingInput input(std::string_view target, std::string_view authorization,
                   std::string_view host = "shop.example") {
    return {host, target, authorization, "attempt-1"};
}

RoutingError error_of(const RoutingResult& result) {
    REQUIRE(std::holds_alternative<RoutingError>(result));
    return std::get<RoutingError>(result);
}

RoutedRequest routed_of(const RoutingResult& result) {
    REQUIRE(std::holds_alternative<RoutedRequest>(result));
    return std::get<RoutedRequest>(result);
}

}  // namespace

TEST_CASE("without a configuration nothing is routed") {
    CHECK(error_of(route_request(nullptr, input("/", "Bearer any-key"))) == RoutingError::no_configuration);
}

TEST_CASE("a host or path without a route is not routed, whatever the key") {
    const auto table = some_table();
    CHECK(error_of(route_request(&table, input("/", "Bearer any-key", "other"))) == RoutingError::no_route);
    CHECK(error_of(route_request(&table, input("", "Bearer any-key"))) == RoutingError::no_route);
    CHECK(error_of(route_request(&table, input("*", ""))) == RoutingError::no_route);
}

TEST_CASE("a route that needs a key rejects requests without a known one") {
    const auto table = some_table();
    for (const char* const authorization :
         {"", "Bearer", "Bearer ", "Bearer no-key", "any-key", "Basic any-key"}) {
        CHECK(error_of(route_request(&table, input("/a", authorization))) == RoutingError::unknown_key);
    }
    CHECK(routed_of(route_request(&table, input("/a", "Bearer  any-key"))).tenant != nullptr);
}

TEST_CASE("a request is rejected if its tenant and route have no home region in common") {
    const auto table = some_table();
    CHECK(error_of(route_request(&table, input("/us/cart", "Bearer eu-key"))) ==
          RoutingError::no_common_region);
}

TEST_CASE("a routed request has its route, tenant, service and regions") {
    const auto table = some_table();
    const RoutedRequest home =
        routed_of(route_request(&table, input("/us/cart?x=/", "Bearer any-key", "SHOP.example:80")));
    CHECK(home.route->path_prefix == "/us/");
    CHECK(home.tenant->api_keys.front() == "any-key");
    CHECK(home.pool == PoolKey{"cart", {"asia", "us"}});
    CHECK(routed_of(route_request(&table, input("/a", "Bearer eu-key"))).pool == PoolKey{"web", {"eu"}});
    const RoutedRequest open = routed_of(route_request(&table, input("/open/", "Bearer no-key")));
    CHECK(open.tenant == nullptr);
    CHECK(open.pool == PoolKey{"open", {}});
    CHECK(routed_of(route_request(&table, input("/open/", "Bearer eu-key"))).pool == PoolKey{"open", {"eu"}});
}

TEST_CASE("a configuration without tenants needs no keys") {
    configuration::Configuration configuration;
    configuration.routes = {route_to("/", {{"web", 1}})};
    const auto table = table_of(std::move(configuration));
    CHECK(routed_of(route_request(&table, input("/", ""))).tenant == nullptr);
}

TEST_CASE("allowed regions are the common home regions, sorted; without home regions all are allowed") {
    configuration::Route route;
    CHECK(allowed_regions(route, nullptr) == std::vector<std::string>{});
    route.home_regions = {"c", "a", "b"};
    CHECK(allowed_regions(route, nullptr) == std::vector<std::string>{"a", "b", "c"});
    const configuration::Tenant wide = tenant_with("key");
    CHECK(allowed_regions(route, &wide) == std::vector<std::string>{"a", "b", "c"});
    const configuration::Tenant narrow = tenant_with("key", {"d", "c", "b"});
    CHECK(allowed_regions(route, &narrow) == std::vector<std::string>{"b", "c"});
    CHECK(allowed_regions({}, &narrow) == std::vector<std::string>{"b", "c", "d"});
}

TEST_CASE("services receive requests by their weights, and one attempt id always selects the same service") {
    configuration::Configuration configuration;
    configuration.routes = {
        route_to("/", {{"none", 0}, {"most", 6}, {"some", 3}, {"few", 1}, {"nothing", 0}})};
    const auto table = table_of(configuration);
    const auto same = table_of(configuration);
    constexpr int attempts = 20000;
    std::map<std::string, int> received;
    for (int n = 0; n < attempts; ++n) {
        const std::string id = "attempt-" + std::to_string(n);
        const RoutingInput request{"shop.example", "/", "", id};
        const std::string service = routed_of(route_request(&table, request)).pool.service;
        ++received[service];
        if (n % 100 == 0) CHECK(routed_of(route_request(&same, request)).pool.service == service);
    }
    CHECK(received.size() == 3);
    for (const auto& [service, share] :
         std::map<std::string, double>{{"most", 0.6}, {"some", 0.3}, {"few", 0.1}}) {
        const double deviation = std::sqrt(attempts * share * (1 - share));
        CHECK(std::abs(received[service] - attempts * share) < 4 * deviation);
    }
}
