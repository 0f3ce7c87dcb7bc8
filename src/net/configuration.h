// Configuration of a gateway and host lists in discovery's format: the only place where this JSON is parsed
// and validated and where defaults are defined. Nothing here acts on the values.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dewweir/decisions.h"
#include "errors/errors.h"
#include "log.h"

namespace dewweir::net {

// One host of a host list.
struct HostEntry {
    std::string id;
    asio::ip::tcp::endpoint address;
    HostState state;
    int zone;       // index into Configuration::zones; its size if unknown
    int cell;       // 0 to 65535
    Time up_since;  // tenths of a millisecond since 1970; 0 if unknown, taken as long ago
};

// A host list as published by discovery.
struct HostList {
    std::uint64_t revision = 0;
    bool complete = false;  // all hosts; otherwise only changes
    std::vector<HostEntry> entries;
};

// All durations (Time) are in tenths of a millisecond.
struct Configuration {
    std::string name;
    asio::ip::tcp::endpoint listen, discovery;
    std::optional<asio::ip::tcp::endpoint> counter;
    std::uint64_t seed = 0;          // of the random number generators
    std::size_t max_sockets = 1024;  // file descriptors the process may use

    Settings settings;
    HostList initial_hosts;                                // hosts known before discovery is reached
    std::vector<std::string> route_classes, plans, zones;  // names; the index is the number used elsewhere
    std::vector<bool> idempotent;                          // by route class
    std::vector<Time> latency_goals;                       // by route class; 0 if not configured
    int gateways = 1;                                      // size of the fleet
    double max_request_units = 1e6;                        // largest cost of one request, in units
    Time timer_step = 0;                                   // resolution of timers
    Time connect_timeout = 0;                              // for connections to hosts and the counter
    Time upstream_idle_close = 0;                          // when hosts close idle connections
    Time counter_timeout = 0;                              // of one call to the counter
    Time ask_within = 0;  // time within which a lost watch must be requested again
    // Discovery sends lists only on request; the decision module starts the watch.
    bool watch_on_request = false;
    Level log_level = Level::info;
};

// Throws errors::BadSetting for an unknown level name.
Level parse_level(const std::string& name);
// Parses an IPv4 address and port such as `127.0.0.1:9000`. Throws errors::BadSetting that names `key`.
asio::ip::tcp::endpoint parse_address(const std::string& key, const std::string& text);
// Reads the file named by the environment variable EDGE_CONFIG; DEWWEIR_LOG sets the log level. Throws
// errors::BadSetting for the first wrong key.
Configuration read_configuration();
Configuration parse_configuration(const std::string& text);
// Returns every error that `parse_configuration` would throw; `settings` receives the settings that could be
// read.
std::vector<errors::BadSetting> configuration_faults(const std::string& text, Settings& settings);
// Throws errors::BadSetting if the text is not a valid host list.
HostList parse_host_list(std::string_view text, const std::vector<std::string>& zones);

}  // namespace dewweir::net
