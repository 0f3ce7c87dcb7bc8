// Finds the route and the tenant of a request in one configuration. Immutable once built.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/home_regions.h"

namespace dewweir::configuration {

// Removes the port from the value of a Host header; "[::1]:80" becomes "[::1]".
std::string_view without_port(std::string_view host);

// Index over the routes and API keys of a configuration.
class RouteTable {
  public:
    // `configuration` must come from parse_configuration and must not be null.
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);
    // Move-only. The indexes point into the shared configuration, so they stay valid when the table is moved;
    // nothing needs a second copy.
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;
    RouteTable(RouteTable&&) = default;
    RouteTable& operator=(RouteTable&&) = default;

    // The route of the host with the longest prefix that matches the path; null if none matches. The host is
    // compared case-insensitively and without its port; a query in `path` is ignored.
    const Route* find(std::string_view host, std::string_view path) const;

    // Regions that may serve every route of the host. All regions if no route of the host has home regions
    // or the host has no route.
    const HomeRegions& home_regions(std::string_view host) const;
    // Number of tenants that list the region among their home regions.
    std::size_t tenants_with_home(const RegionName& region) const;

    // The tenant with this API key; null if there is none.
    const Tenant* find_tenant(std::string_view api_key) const;

    const Configuration& configuration() const { return *configuration_; }
    std::shared_ptr<const Configuration> shared_configuration() const { return configuration_; }

  private:
    struct HostHash {
        std::size_t operator()(std::string_view host) const noexcept;
    };
    struct HostEqual {
        bool operator()(std::string_view left, std::string_view right) const noexcept;
    };
    struct HostRoutes {
        std::vector<std::size_t> prefix_lengths;  // distinct lengths, the longest first
        std::unordered_map<std::string_view, const Route*> by_prefix;
        HomeRegions home_regions;  // intersection over all routes of the host
    };

    void add(const Route& route);

    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string_view, HostRoutes, HostHash, HostEqual> hosts_;
    std::unordered_map<std::string_view, const Tenant*> tenants_by_key_;
    std::unordered_map<RegionName, std::size_t> tenants_by_home_;
};

// Priority of a request: the tenant's if it has one, otherwise the route's. `tenant` may be null.
std::uint32_t effective_priority(const Route& route, const Tenant* tenant);

}  // namespace dewweir::configuration
