// What a gateway is told at start, and the lists of hosts in discovery's form: the one place where JSON is
// read and checked and where defaults are. It must never act on what it reads.
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

struct HostEntry {
    std::string id;
    asio::ip::tcp::endpoint address;
    HostState state;
    int zone, cell;
    Time up_since;  // 0: long ago
};

struct HostList {
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<HostEntry> entries;
};

struct Configuration {
    std::string name;
    asio::ip::tcp::endpoint listen, discovery;
    std::optional<asio::ip::tcp::endpoint> counter;
    std::uint64_t seed = 0;
    std::size_t max_sockets = 1024;
    Settings settings;
    HostList initial_hosts;
    std::vector<std::string> route_classes, plans, zones;  // by name; their places are their numbers
    std::vector<bool> idempotent;                          // by route class
    std::vector<Time> latency_goals;                       // by route class; 0 where it is not told
    int gateways = 1;
    double max_request_units = 1e6;  // units of one request
    Time timer_step = 0, connect_timeout = 0, upstream_idle_close = 0, counter_timeout = 0, ask_within = 0;
    bool watch_on_request = false;  // the list is sent only after it was asked for
    Level log_level = Level::info;
};

// Throws errors::BadSetting when there is no such level.
Level parse_level(const std::string& name);
// `127.0.0.1:9000`; `key` is for the error. Throws errors::BadSetting.
asio::ip::tcp::endpoint parse_address(const std::string& key, const std::string& text);
// From the environment and the file it names. Throws errors::BadSetting for the first key that is wrong.
Configuration read_configuration();
Configuration parse_configuration(const std::string& text);
// All that `parse_configuration` would refuse; `settings` gets what could be read of the
// settings.
std::vector<errors::BadSetting> configuration_faults(const std::string& text, Settings& settings);
// Throws errors::BadSetting on anything that is no listing.
HostList parse_host_list(std::string_view text, const std::vector<std::string>& zones);

}  // namespace dewweir::net
