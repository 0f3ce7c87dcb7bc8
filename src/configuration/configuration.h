// Data types of the operator's configuration: routes, services, tenants and limits on clients. This package
// parses, validates and looks up configurations. It opens no socket or file, reads no clock, makes no
// decision about hosts, and neither stores nor distributes versions.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/version.h"

namespace dewweir::configuration {

// Whether a route's requests may be executed more than once.
enum class RouteClass {
    idempotent,  // a request may be executed any number of times
    mutating,    // a request a client sends may be executed at most once
};

using RegionName = std::string;

// One of the services a route distributes its requests over.
struct WeightedBackend {
    std::string service;  // name of a service of the same configuration
    // Relative weight: finite and at least 0; the sum over a route is above 0.
    double weight = 1.0;
};

// Which requests a route matches, and how they are served.
struct Route {
    std::string name;         // unique among the routes
    std::string hostname;     // compared case-insensitively, without a port
    std::string path_prefix;  // begins and ends with '/'
    RouteClass route_class = RouteClass::mutating;
    // Longest time a request may take, from kShortestDeadline to kLongestDeadline.
    std::chrono::milliseconds deadline{0};
    // Latency up to which a response has its full value to the client; below
    // deadline + kTargetLatencyExcessLimit.
    std::chrono::milliseconds target_latency{0};
    std::uint32_t priority = 0;             // 0 is the highest
    std::vector<WeightedBackend> backends;  // at least one
    // Most hosts that one request of a client may be sent to, the first included; at least 1.
    std::uint32_t max_tries = 1;
    bool anonymous = false;                // requests need no API key
    std::vector<RegionName> home_regions;  // regions allowed to serve the route; empty: every region
};

// A group of interchangeable hosts that requests are proxied to.
struct Service {
    std::string name;  // unique among the services
    std::string health_path;
    std::uint32_t max_conns = 0;  // connections that each host accepts from all gateways together
    std::string protocol;         // "h1" unless the configuration says otherwise
    bool tls = false;
    std::chrono::milliseconds warmup{0};  // how long a host counts as cold after its start
    // Requests a second that a cold host can take; absent if the configuration does not say.
    std::optional<double> cold_per_s;
};

// Limits on the requests that clients send and on their connections.
struct ClientLimits {
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 64 * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3'000};  // for receiving a request's header
    std::chrono::milliseconds idle_timeout{15'000};   // of a connection without a request
};

// A customer, identified by API keys, with an optional quota.
struct Tenant {
    std::string name;  // unique among the tenants
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> priority;  // overrides the route's; 0 is the highest
    double rate_per_s = 0.0;                // requests a second over all gateways together; 0: unlimited
    double burst = 0.0;                     // requests allowed on top of the rate
    std::vector<RegionName> home_regions;   // regions allowed to serve the tenant; empty: every region

    bool has_quota() const { return rate_per_s > 0.0; }
};

// One complete version of the operator's configuration.
struct Configuration {
    Version epoch;
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;
    std::vector<Tenant> tenants;
    // Whether the configuration lists tenants at all. If it does, requests need an API key even when the
    // list is empty.
    bool has_tenants = false;
};

constexpr std::chrono::milliseconds kLongestDeadline = std::chrono::minutes{10};
// A shorter deadline would expire before any request of the route could be answered.
constexpr std::chrono::milliseconds kShortestDeadline{1};
// A route's target_latency must be less than its deadline plus this.
constexpr std::chrono::milliseconds kTargetLatencyExcessLimit = std::chrono::minutes{1};

}  // namespace dewweir::configuration
