#include "configuration/route_table.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace dewweir::configuration {
namespace {

char to_lower(char character) {
    const bool upper = character >= 'A' && character <= 'Z';
    return upper ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view without_query(std::string_view path) { return path.substr(0, path.find_first_of("?#")); }

}  // namespace

std::string_view without_port(std::string_view host) {
    const std::size_t bracket = host.find(']');
    const std::size_t from = bracket == std::string_view::npos ? 0 : bracket;
    return host.substr(0, host.find(':', from));
}

// FNV-1a (64 bits) over the lower-case host.
std::size_t RouteTable::HostHash::operator()(std::string_view host) const noexcept {
    constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
    constexpr std::uint64_t kPrime = 0x100000001b3;
    std::uint64_t hash = kOffsetBasis;
    for (const char character : host) {
        hash ^= static_cast<unsigned char>(to_lower(character));
        hash *= kPrime;
    }
    return hash;
}

bool RouteTable::HostEqual::operator()(std::string_view left, std::string_view right) const noexcept {
    const auto equal_ignoring_case = [](char one, char other) { return to_lower(one) == to_lower(other); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), equal_ignoring_case);
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
    for (const Route& route : configuration_->routes) add(route);
    for (auto& [host, routes] : hosts_)
        std::sort(routes.prefix_lengths.begin(), routes.prefix_lengths.end(), std::greater<>{});
    tenants_by_key_.reserve(configuration_->tenants.size());
    for (const Tenant& tenant : configuration_->tenants) {
        for (const std::string& key : tenant.api_keys) tenants_by_key_.emplace(key, &tenant);
        for (const RegionName& home : tenant.home_regions) ++tenants_by_home_[home];
    }
}

std::size_t RouteTable::tenants_with_home(const RegionName& region) const {
    const auto at = tenants_by_home_.find(region);
    return at == tenants_by_home_.end() ? 0 : at->second;
}

void RouteTable::add(const Route& route) {
    HostRoutes& routes = hosts_[route.hostname];
    const std::size_t length = route.path_prefix.size();
    const bool known_length = std::find(routes.prefix_lengths.begin(), routes.prefix_lengths.end(), length) !=
                              routes.prefix_lengths.end();
    if (!known_length) routes.prefix_lengths.push_back(length);
    routes.by_prefix.emplace(route.path_prefix, &route);
    restrict_to(routes.home_regions, route.home_regions);
}

const HomeRegions& RouteTable::home_regions(std::string_view host) const {
    static const HomeRegions all_regions;
    const auto at = hosts_.find(without_port(host));
    return at == hosts_.end() ? all_regions : at->second.home_regions;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    const auto at = hosts_.find(without_port(host));
    if (at == hosts_.end()) return nullptr;
    const std::string_view path_only = without_query(path);
    for (const std::size_t length : at->second.prefix_lengths) {
        const bool ends_with_slash = length <= path_only.size() && path_only[length - 1] == '/';
        if (!ends_with_slash) continue;
        const auto found = at->second.by_prefix.find(path_only.substr(0, length));
        if (found != at->second.by_prefix.end()) return found->second;
    }
    return nullptr;
}

const Tenant* RouteTable::find_tenant(std::string_view api_key) const {
    const auto at = tenants_by_key_.find(api_key);
    return at == tenants_by_key_.end() ? nullptr : at->second;
}

std::uint32_t effective_priority(const Route& route, const Tenant* tenant) {
    if (tenant == nullptr) return route.priority;
    return tenant->priority.value_or(route.priority);
}

}  // namespace dewweir::configuration
