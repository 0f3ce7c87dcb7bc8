// Looks up the route and the tenant of a request in one configuration. Never changes after it is built.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration/configuration.h"
#include "configuration/home_regions.h"

namespace dewweir::configuration {

// The host of a Host header's value without its port; "[::1]:80" is "[::1]".
std::string_view without_port(std::string_view host);

class RouteTable {
  public:
    // `configuration` is one that parse_configuration took, never null.
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);
    // The tables point into the shared configuration, so that moving keeps them right; no two copies are
    // needed.
    RouteTable(const RouteTable&) = delete;
    RouteTable& operator=(const RouteTable&) = delete;
    RouteTable(RouteTable&&) = default;
    RouteTable& operator=(RouteTable&&) = default;

    // The route of that host (in any case, port ignored) whose prefix begins the path and is the longest;
    // null if there is none. A query in `path` is ignored.
    const Route* find(std::string_view host, std::string_view path) const;

    // The regions that every route of that host may be served in; all where no route has homes or there is no
    // route.
    const HomeRegions& homes(std::string_view host) const;
    // How many of the tenants that have homes may be served in the region.
    std::size_t tenants_at_home(const RegionName& region) const;

    // The tenant holding the key; null if there is none.
    const Tenant* find_tenant(std::string_view api_key) const;

    const Configuration& configuration() const { return *configuration_; }
    std::shared_ptr<const Configuration> share() const { return configuration_; }

  private:
    struct HostHash {
        std::size_t operator()(std::string_view host) const noexcept;
    };
    struct HostEqual {
        bool operator()(std::string_view left, std::string_view right) const noexcept;
    };
    struct HostRoutes {
        std::vector<std::size_t> lengths;  // of the prefixes, each once, the longest first
        std::unordered_map<std::string_view, const Route*> by_prefix;
        HomeRegions homes;
    };

    void add(const Route& route);

    std::shared_ptr<const Configuration> configuration_;
    std::unordered_map<std::string_view, HostRoutes, HostHash, HostEqual> hosts_;
    std::unordered_map<std::string_view, const Tenant*> tenants_;
    std::unordered_map<RegionName, std::size_t> tenants_at_home_;
};

// The rank of a request: the tenant's where it has one, else the route's. `tenant` may be null.
std::uint32_t effective_priority(const Route& route, const Tenant* tenant);

}  // namespace dewweir::configuration
