#include "configuration/checks.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace dewweir::configuration {
namespace {

// The violation found by a check; absent if there is none.
using Violation = std::optional<Rejection>;
using Names = std::unordered_set<std::string_view>;

// JSON pointer to a field of a list's element.
std::string element_path(std::string_view list, std::size_t index, std::string_view field) {
    return '/' + std::string(list) + '/' + std::to_string(index) + '/' + std::string(field);
}

Violation check_prefix(const Route& route, std::size_t index) {
    const std::string& prefix = route.path_prefix;
    const bool well_formed = !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
    if (well_formed) return std::nullopt;
    return Rejection{Reason::malformed_path_prefix, element_path("routes", index, "path_prefix"),
                     "must begin and end with a slash"};
}

Violation check_times(const Route& route, std::size_t index) {
    if (route.deadline > kLongestDeadline) {
        return Rejection{Reason::deadline_too_long, element_path("routes", index, "deadline"),
                         "must be ten minutes or less"};
    }
    if (route.target_latency - route.deadline >= kTargetLatencyExcessLimit) {
        return Rejection{Reason::target_latency_too_long, element_path("routes", index, "target_latency"),
                         "must be less than a minute above the deadline"};
    }
    return std::nullopt;
}

Violation check_weights(const Route& route, std::size_t index) {
    const std::string path = element_path("routes", index, "weighted_backends");
    double sum = 0.0;
    for (const WeightedBackend& backend : route.backends) sum += backend.weight;
    if (!std::isfinite(sum)) return Rejection{Reason::number_out_of_range, path, "weights are too large"};
    if (sum > 0.0) return std::nullopt;
    return Rejection{Reason::weights_sum_to_zero, path, "at least one weight must be above 0"};
}

Violation check_services_known(const Route& route, std::size_t index, const Names& services) {
    for (const WeightedBackend& backend : route.backends) {
        if (services.contains(backend.service)) continue;
        return Rejection{Reason::unknown_service, element_path("routes", index, "backend"),
                         "no service is called " + backend.service};
    }
    return std::nullopt;
}

Violation check_route(const Route& route, std::size_t index, const Names& services) {
    if (Violation violation = check_prefix(route, index)) return violation;
    if (Violation violation = check_times(route, index)) return violation;
    if (Violation violation = check_weights(route, index)) return violation;
    return check_services_known(route, index, services);
}

// Names must be unique within a list.
template <typename Element>
Violation check_names_unique(const std::vector<Element>& elements, std::string_view list) {
    Names names;
    names.reserve(elements.size());
    for (std::size_t index = 0; index < elements.size(); ++index) {
        const std::string& name = elements[index].name;
        if (names.insert(name).second) continue;
        return Rejection{Reason::duplicate_name, element_path(list, index, "name"),
                         name + " is taken by another"};
    }
    return std::nullopt;
}

// Key that is equal for two routes with the same prefix and the same host, compared case-insensitively.
std::string match_key(const Route& route) {
    std::string key = route.hostname;
    const auto to_lower = [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    };
    std::transform(key.begin(), key.end(), key.begin(), to_lower);
    return key + route.path_prefix;
}

Violation check_matches_unique(const std::vector<Route>& routes) {
    std::unordered_set<std::string> keys;
    keys.reserve(routes.size());
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (keys.insert(match_key(routes[index])).second) continue;
        return Rejection{Reason::duplicate_route_match, element_path("routes", index, "path_prefix"),
                         "another route has this host and prefix"};
    }
    return std::nullopt;
}

// Two tenants must not share an API key; one tenant may list a key twice.
Violation check_api_keys_unique(const std::vector<Tenant>& tenants) {
    std::unordered_map<std::string_view, std::size_t> owners;
    owners.reserve(tenants.size());
    for (std::size_t index = 0; index < tenants.size(); ++index) {
        for (const std::string& key : tenants[index].api_keys) {
            const auto [owner, added] = owners.emplace(key, index);
            if (added || owner->second == index) continue;
            return Rejection{Reason::duplicate_api_key, element_path("tenants", index, "api_keys"),
                             "a key is also held by " + tenants[owner->second].name};
        }
    }
    return std::nullopt;
}

// Rejects a value below `least`, with which the configuration could serve nothing.
template <typename Value>
Violation check_at_least(Value value, Value least, Reason reason, std::string path, std::string advice) {
    if (value >= least) return std::nullopt;
    return Rejection{reason, std::move(path), std::move(advice)};
}

Violation check_route_servable(const Route& route, std::size_t index) {
    if (Violation violation =
            check_at_least(route.deadline, kShortestDeadline, Reason::deadline_too_short,
                           element_path("routes", index, "deadline"), "must be 1ms or more")) {
        return violation;
    }
    return check_at_least<std::size_t>(route.hostname.size(), 1, Reason::empty_hostname,
                                       element_path("routes", index, "hostname"), "must name a host");
}

Violation check_limits_servable(const ClientLimits& limits) {
    constexpr std::chrono::milliseconds shortest{1};
    const auto check = [](auto value, auto least, std::string_view field) {
        return check_at_least<decltype(value)>(value, least, Reason::limit_too_small,
                                               "/limits/" + std::string(field),
                                               "must be above 0: no client can keep it");
    };
    if (Violation violation = check(limits.max_header_bytes, std::uint64_t{1}, "max_header_bytes"))
        return violation;
    if (Violation violation = check(limits.header_timeout, shortest, "header_timeout")) return violation;
    return check(limits.idle_timeout, shortest, "idle_timeout");
}

}  // namespace

std::optional<Rejection> check_servable(const Configuration& configuration) {
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        if (Violation violation = check_route_servable(configuration.routes[index], index)) return violation;
    }
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        if (Violation violation = check_at_least<std::uint32_t>(
                configuration.services[index].max_conns, 1, Reason::no_connections,
                element_path("services", index, "max_conns"), "must be 1 or more")) {
            return violation;
        }
    }
    return check_limits_servable(configuration.limits);
}

std::optional<Rejection> check_configuration(const Configuration& configuration) {
    if (Violation violation = check_names_unique(configuration.services, "services")) return violation;
    if (Violation violation = check_names_unique(configuration.routes, "routes")) return violation;
    if (Violation violation = check_names_unique(configuration.tenants, "tenants")) return violation;
    Names services;
    for (const Service& service : configuration.services) services.insert(service.name);
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        if (Violation violation = check_route(configuration.routes[index], index, services)) return violation;
    }
    if (Violation violation = check_matches_unique(configuration.routes)) return violation;
    return check_api_keys_unique(configuration.tenants);
}

}  // namespace dewweir::configuration
