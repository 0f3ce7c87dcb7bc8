#include "configuration/route_table.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace dewweir::configuration {
namespace {

char lower(char letter) {
    const bool upper = letter >= 'A' && letter <= 'Z';
    return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view without_query(std::string_view path) { return path.substr(0, path.find_first_of("?#")); }

}  // namespace

std::string_view without_port(std::string_view host) {
    const std::size_t bracket = host.find(']');
    const std::size_t from = bracket == std::string_view::npos ? 0 : bracket;
    return host.substr(0, host.find(':', from));
}

// FNV-1a, 64 bits, over the host in lower case.
std::size_t RouteTable::HostHash::operator()(std::string_view host) const noexcept {
    constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
    constexpr std::uint64_t kPrime = 0x100000001b3;
    std::uint64_t hash = kOffsetBasis;
    for (const char letter : host) {
        hash ^= static_cast<unsigned char>(lower(letter));
        hash *= kPrime;
    }
    return hash;
}

bool RouteTable::HostEqual::operator()(std::string_view left, std::string_view right) const noexcept {
    const auto same = [](char one, char other) { return lower(one) == lower(other); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
    for (const Route& route : configuration_->routes) add(route);
    for (auto& [host, routes] : hosts_)
        std::sort(routes.lengths.begin(), routes.lengths.end(), std::greater<>{});
    tenants_.reserve(configuration_->tenants.size());
    for (const Tenant& tenant : configuration_->tenants) {
        for (const std::string& key : tenant.api_keys) tenants_.emplace(key, &tenant);
        for (const RegionName& home : tenant.home_regions) ++tenants_at_home_[home];
    }
}

std::size_t RouteTable::tenants_at_home(const RegionName& region) const {
    const auto at = tenants_at_home_.find(region);
    return at == tenants_at_home_.end() ? 0 : at->second;
}

void RouteTable::add(const Route& route) {
    HostRoutes& routes = hosts_[route.hostname];
    const std::size_t length = route.path_prefix.size();
    const bool known =
        std::find(routes.lengths.begin(), routes.lengths.end(), length) != routes.lengths.end();
    if (!known) routes.lengths.push_back(length);
    routes.by_prefix.emplace(route.path_prefix, &route);
    restrict_to(routes.homes, route.home_regions);
}

const HomeRegions& RouteTable::homes(std::string_view host) const {
    static const HomeRegions everywhere;
    const auto at = hosts_.find(without_port(host));
    return at == hosts_.end() ? everywhere : at->second.homes;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    const auto at = hosts_.find(without_port(host));
    if (at == hosts_.end()) return nullptr;
    const std::string_view bare = without_query(path);
    for (const std::size_t length : at->second.lengths) {
        const bool ends_with_slash = length <= bare.size() && bare[length - 1] == '/';
        if (!ends_with_slash) continue;
        const auto found = at->second.by_prefix.find(bare.substr(0, length));
        if (found != at->second.by_prefix.end()) return found->second;
    }
    return nullptr;
}

const Tenant* RouteTable::find_tenant(std::string_view api_key) const {
    const auto at = tenants_.find(api_key);
    return at == tenants_.end() ? nullptr : at->second;
}

std::uint32_t effective_priority(const Route& route, const Tenant* tenant) {
    if (tenant == nullptr) return route.priority;
    return tenant->priority.value_or(route.priority);
}

}  // namespace dewweir::configuration
