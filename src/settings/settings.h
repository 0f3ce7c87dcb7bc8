// What one process is told by its settings file: who it is, its addresses, the platform and the rules'
// figures. This package owns the reading of that file's text. It never opens the file, never watches it and
// keeps nothing between calls.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/endpoint.h"

namespace dewweir::settings {

using ZoneName = std::string;
using RegionName = std::string;

// Who may call this process from outside.
enum class Serves {
    edge,       // clients
    control,    // hosts and the operator
    directory,  // clients that ask where to go
};

// What the machine gives this process.
struct Limits {
    double cpu_share = 0.0;  // of a core
    double cores = 0.0;      // how many times as fast the core runs
    std::uint64_t memory_mb = 0;
    std::uint64_t max_fds = 0;
    double link_mbps = 0.0;
    std::uint64_t disk_mb = 0;  // 0 where there is no disk
};

struct Self {
    std::string node;
    std::string role;
    std::string machine_class;
    std::set<Serves> serves;
    std::uint32_t ip = 0;  // in host order
    ZoneName zone;
    RegionName region;
    bool counted = false;    // the fault budget counts this machine
    bool bootstrap = false;  // only at the first start of the whole system, on empty disks
    std::optional<std::string> state_dir;
    Limits limits;
};

// Where this process listens for those it serves.
struct Bind {
    std::optional<Endpoint> front;
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> control;
    std::optional<Endpoint> directory;
};

// Ports free for what processes of the system say to each other; both ends belong to it.
struct PortRange {
    std::uint16_t first = 0;
    std::uint16_t last = 0;
};

struct Network {
    Bind bind;
    PortRange ephemeral_ports;
    std::vector<Endpoint> seed_nodes;      // `control` addresses; may be down
    std::map<ZoneName, RegionName> zones;  // every zone and the region it is in
};

// The platform's list of hosts.
struct CloudApi {
    Endpoint address;
    double rate_per_s = 0.0;  // calls, of all gateways together
    std::chrono::milliseconds max_lag{0};
    std::vector<std::string> duties;
};

struct Substrate {
    std::string discovery;
    std::string ingress;
    std::chrono::milliseconds beat_interval{0};
    CloudApi cloud_api;
};

// What may be lost at the same time while every rule holds.
struct FaultBudget {
    std::uint32_t machines = 0;  // of those that are `counted`
    std::uint32_t zones = 0;
    std::uint32_t regions = 0;
};

// The figures of the rules.
struct Bounds {
    std::chrono::milliseconds seed_lag{0};
    std::chrono::milliseconds reuse_after{0};
    std::chrono::milliseconds contact{0};
    std::chrono::milliseconds ack{0};
    std::chrono::milliseconds catch_up{0};
    std::chrono::milliseconds drain{0};
    std::chrono::milliseconds grace{0};
    std::chrono::milliseconds loss_slack{0};
    std::chrono::milliseconds config_apply{0};
    std::chrono::milliseconds downgrade_slack{0};
    std::chrono::milliseconds stretch_max{0};
    bool revocation_strict = false;
    std::chrono::milliseconds revoke{0};
    double retry_ratio = 0.0;
    std::chrono::milliseconds retry_window{0};
    double retry_slack = 0.0;  // requests
    std::chrono::milliseconds quota_window{0};
    double quota_overshoot = 0.0;  // a share of the quota
    double quota_slack = 0.0;      // requests
    double cold_overshoot = 0.0;   // times `cold_per_s`
    double cold_slack = 0.0;       // requests
    std::chrono::milliseconds evacuate{0};
    std::chrono::milliseconds recovery{0};
    std::chrono::milliseconds ttl_max{0};
};

struct Invariants {
    std::set<std::string> active;  // names of the parts of the rules in force
    FaultBudget fault_budget;
    Bounds bounds;
};

struct Settings {
    Self self;
    Network network;
    Substrate substrate;
    Invariants invariants;
};

enum class SettingsFault {
    missing,       // a required key is not there or empty
    malformed,     // the value is not of the key's kind, or a line is no key=value
    out_of_range,  // the value is of the right kind and too small or too large
};

struct SettingsError {
    std::string key;  // as in the file, or the line that has no '='
    SettingsFault kind = SettingsFault::missing;
    std::string advice;  // what the key takes, in words for a person
};

using SettingsResult = std::variant<Settings, SettingsError>;

// Reads the whole text of a settings file. Unknown keys, blank lines and lines beginning with '#' are
// ignored, and so are unknown words of `self.serves`; of two lines with one key the later counts. A key that
// is missing or has no value takes its default where it has one (describe_settings lists them).
SettingsResult read_settings(std::string_view text);

// A table in Markdown of all keys: name, unit, range, default, meaning.
std::string describe_settings();

}  // namespace dewweir::settings
