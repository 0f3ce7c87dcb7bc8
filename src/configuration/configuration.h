// The operator's configuration: its types. This package owns reading, checking and looking up a
// configuration. It never opens sockets or files, reads no clock, decides nothing about hosts and does not
// keep or spread versions.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/version.h"

namespace dewweir::configuration {

// What may be repeated.
enum class RouteClass {
    idempotent,  // may run more than once
    mutating,    // at most once for each try of a client
};

using RegionName = std::string;

struct WeightedBackend {
    std::string service;  // the name of one of the configuration's services
    double weight = 1.0;  // finite, at least 0; the sum over a route is above 0
};

struct Route {
    std::string name;
    std::string hostname;
    std::string path_prefix;  // begins and ends with '/'
    RouteClass route_class = RouteClass::mutating;
    std::chrono::milliseconds deadline{
        0};  // the longest a request is held, kShortestDeadline to kLongestDeadline
    std::chrono::milliseconds target_latency{0};  // within which an answer earns its full worth
    std::uint32_t priority = 0;                   // 0 is the highest
    std::vector<WeightedBackend> backends;        // at least one
    std::uint32_t max_tries = 1;                  // hosts a try of a client may be sent to, at least 1
    bool anonymous = false;                       // needs no key
    std::vector<RegionName> home_regions;         // empty: every region
};

struct Service {
    std::string name;
    std::string health_path;
    std::uint32_t max_conns = 0;  // that each host accepts from all callers together
    std::string protocol;
    bool tls = false;
    std::chrono::milliseconds warmup{0};  // how long a host is cold after a start
    std::optional<double> cold_per_s;     // requests that a cold host bears; nothing: not told
};

// What clients may send, and how long they may take or stay idle.
struct ClientLimits {
    std::uint64_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 64 * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

struct Tenant {
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> priority;  // takes the place of the route's
    double rate_per_s = 0.0;                // requests, all gateways together; 0: no limit
    double burst = 0.0;                     // requests on top of the rate
    std::vector<RegionName> home_regions;   // empty: every region

    bool has_quota() const { return rate_per_s > 0.0; }
};

struct Configuration {
    Version epoch;
    std::vector<Route> routes;
    std::vector<Service> services;
    ClientLimits limits;
    std::vector<Tenant> tenants;
    bool has_tenants = false;  // keys are asked for, also where the list of tenants is empty
};

constexpr std::chrono::milliseconds kLongestDeadline = std::chrono::minutes{10};
// With less no request of a route can be answered.
constexpr std::chrono::milliseconds kShortestDeadline{1};
// By so much or more a target_latency may not lie above its route's deadline.
constexpr std::chrono::milliseconds kTargetLatencyExcess = std::chrono::minutes{1};

}  // namespace dewweir::configuration
