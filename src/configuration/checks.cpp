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

using Fault = std::optional<Rejection>;
using Names = std::unordered_set<std::string_view>;

std::string element(std::string_view list, std::size_t index, std::string_view field) {
    return '/' + std::string(list) + '/' + std::to_string(index) + '/' + std::string(field);
}

Fault check_prefix(const Route& route, std::size_t index) {
    const std::string& prefix = route.path_prefix;
    const bool whole = !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
    if (whole) return std::nullopt;
    return Rejection{Reason::malformed_path_prefix, element("routes", index, "path_prefix"),
                     "must begin and end with a slash"};
}

Fault check_times(const Route& route, std::size_t index) {
    if (route.deadline > kLongestDeadline) {
        return Rejection{Reason::deadline_too_long, element("routes", index, "deadline"),
                         "must be ten minutes or less"};
    }
    if (route.target_latency - route.deadline >= kTargetLatencyExcess) {
        return Rejection{Reason::target_latency_too_long, element("routes", index, "target_latency"),
                         "must be less than a minute above the deadline"};
    }
    return std::nullopt;
}

Fault check_weights(const Route& route, std::size_t index) {
    const std::string path = element("routes", index, "weighted_backends");
    double sum = 0.0;
    for (const WeightedBackend& backend : route.backends) sum += backend.weight;
    if (!std::isfinite(sum)) return Rejection{Reason::number_out_of_range, path, "weights are too large"};
    if (sum > 0.0) return std::nullopt;
    return Rejection{Reason::weights_sum_to_zero, path, "at least one weight must be above 0"};
}

Fault check_services_known(const Route& route, std::size_t index, const Names& services) {
    for (const WeightedBackend& backend : route.backends) {
        if (services.contains(backend.service)) continue;
        return Rejection{Reason::unknown_service, element("routes", index, "backend"),
                         "no service is called " + backend.service};
    }
    return std::nullopt;
}

Fault check_route(const Route& route, std::size_t index, const Names& services) {
    if (Fault fault = check_prefix(route, index)) return fault;
    if (Fault fault = check_times(route, index)) return fault;
    if (Fault fault = check_weights(route, index)) return fault;
    return check_services_known(route, index, services);
}

// No two elements of a list may have one name.
template <typename Element> Fault check_names(const std::vector<Element>& elements, std::string_view list) {
    Names names;
    names.reserve(elements.size());
    for (std::size_t index = 0; index < elements.size(); ++index) {
        const std::string& name = elements[index].name;
        if (names.insert(name).second) continue;
        return Rejection{Reason::duplicate_name, element(list, index, "name"), name + " is taken by another"};
    }
    return std::nullopt;
}

// The text that two routes of one host and prefix have in common; hosts compare in any case.
std::string match_of(const Route& route) {
    std::string match = route.hostname;
    const auto lower = [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    };
    std::transform(match.begin(), match.end(), match.begin(), lower);
    return match + route.path_prefix;
}

Fault check_matches(const std::vector<Route>& routes) {
    std::unordered_set<std::string> matches;
    matches.reserve(routes.size());
    for (std::size_t index = 0; index < routes.size(); ++index) {
        if (matches.insert(match_of(routes[index])).second) continue;
        return Rejection{Reason::duplicate_route_match, element("routes", index, "path_prefix"),
                         "another route has this host and prefix"};
    }
    return std::nullopt;
}

// A tenant may list a key twice, two tenants may not share one.
Fault check_keys(const std::vector<Tenant>& tenants) {
    std::unordered_map<std::string_view, std::size_t> holders;
    holders.reserve(tenants.size());
    for (std::size_t index = 0; index < tenants.size(); ++index) {
        for (const std::string& key : tenants[index].api_keys) {
            const auto [holder, added] = holders.emplace(key, index);
            if (added || holder->second == index) continue;
            return Rejection{Reason::duplicate_api_key, element("tenants", index, "api_keys"),
                             "a key is also held by " + tenants[holder->second].name};
        }
    }
    return std::nullopt;
}

// Whether a field that bounds what may be done allows nothing at all.
template <typename Value>
Fault check_allows(Value value, Value least, Reason reason, std::string place, std::string advice) {
    if (value >= least) return std::nullopt;
    return Rejection{reason, std::move(place), std::move(advice)};
}

Fault check_route_servable(const Route& route, std::size_t index) {
    if (Fault fault = check_allows(route.deadline, kShortestDeadline, Reason::deadline_too_short,
                                   element("routes", index, "deadline"), "must be 1ms or more")) {
        return fault;
    }
    return check_allows<std::size_t>(route.hostname.size(), 1, Reason::empty_hostname,
                                     element("routes", index, "hostname"), "must name a host");
}

Fault check_limits_servable(const ClientLimits& limits) {
    constexpr std::chrono::milliseconds shortest{1};
    const auto check = [](auto value, auto least, std::string_view field) {
        return check_allows<decltype(value)>(value, least, Reason::limit_too_small,
                                             "/limits/" + std::string(field),
                                             "must be above 0: no client can keep it");
    };
    if (Fault fault = check(limits.max_header_bytes, std::uint64_t{1}, "max_header_bytes")) return fault;
    if (Fault fault = check(limits.header_timeout, shortest, "header_timeout")) return fault;
    return check(limits.idle_timeout, shortest, "idle_timeout");
}

}  // namespace

std::optional<Rejection> check_servable(const Configuration& configuration) {
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        if (Fault fault = check_route_servable(configuration.routes[index], index)) return fault;
    }
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        if (Fault fault = check_allows<std::uint32_t>(
                configuration.services[index].max_conns, 1, Reason::no_connections,
                element("services", index, "max_conns"), "must be 1 or more")) {
            return fault;
        }
    }
    return check_limits_servable(configuration.limits);
}

std::optional<Rejection> check_configuration(const Configuration& configuration) {
    if (Fault fault = check_names(configuration.services, "services")) return fault;
    if (Fault fault = check_names(configuration.routes, "routes")) return fault;
    if (Fault fault = check_names(configuration.tenants, "tenants")) return fault;
    Names services;
    for (const Service& service : configuration.services) services.insert(service.name);
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        if (Fault fault = check_route(configuration.routes[index], index, services)) return fault;
    }
    if (Fault fault = check_matches(configuration.routes)) return fault;
    return check_keys(configuration.tenants);
}

}  // namespace dewweir::configuration
