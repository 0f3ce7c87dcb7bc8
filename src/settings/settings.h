// Settings of one process, from the settings file that the platform gives it: identity, addresses, platform
// services and the bounds of the platform's invariants. This package parses the text of that file. It does
// not open or watch the file and keeps no state between calls.
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

// An interface that this process offers to callers outside the system.
enum class ExternalInterface {
    edge,       // to clients, whose requests are proxied
    control,    // to hosts and the operator
    directory,  // to clients that ask which gateway to use
};

// Resources that the machine gives this process.
struct ResourceLimits {
    double cpu_share = 0.0;  // in cores
    double cores = 0.0;      // speed of a core, as a factor of the standard speed
    std::uint64_t memory_mb = 0;
    std::uint64_t max_fds = 0;  // open file descriptors
    double link_mbps = 0.0;     // bandwidth of the machine's link in Mbit/s
    std::uint64_t disk_mb = 0;  // 0 if the machine has no disk
};

// Keys `self.*`: the identity of this process and of its machine.
struct Self {
    std::string node;  // name of the machine
    std::string role;
    std::string machine_class;
    std::set<ExternalInterface> serves;
    std::uint32_t ip = 0;  // address of the machine, in host byte order
    ZoneName zone;
    RegionName region;
    bool counted = false;                  // whether the fault budget counts this machine
    bool bootstrap = false;                // true only at the first start of the whole system, on empty disks
    std::optional<std::string> state_dir;  // folder on the machine's disk; absent if it has no disk
    ResourceLimits limits;
};

// Keys `network.bind.*`: where this process listens; absent for interfaces that it does not offer.
struct ListenAddresses {
    std::optional<Endpoint> front;      // requests of clients
    std::optional<Endpoint> readiness;  // readiness probes of the platform
    std::optional<Endpoint> control;    // hosts and the operator
    std::optional<Endpoint> directory;  // clients that ask which gateway to use
};

// Ports that are free for connections between the system's own processes; both ends are included.
struct PortRange {
    std::uint16_t first = 0;
    std::uint16_t last = 0;
};

// Keys `network.*`.
struct Network {
    ListenAddresses bind;
    PortRange ephemeral_ports;
    std::vector<Endpoint> seed_nodes;      // control addresses of a few machines, any of which may be down
    std::map<ZoneName, RegionName> zones;  // the region of every zone
};

// Keys `substrate.cloud_api.*`: the platform's API that lists the hosts.
struct CloudApi {
    Endpoint address;
    double rate_per_s = 0.0;               // calls a second allowed to all gateways together
    std::chrono::milliseconds max_lag{0};  // by how much its list may lag behind
    std::vector<std::string> duties;       // further obligations towards the platform
};

// Keys `substrate.*`: services of the platform.
struct Substrate {
    std::string discovery;                       // how hosts are found, e.g. "cloud"
    std::string ingress;                         // how clients find gateways, e.g. "directory"
    std::chrono::milliseconds beat_interval{0};  // interval of heartbeats
    CloudApi cloud_api;
};

// Keys `invariants.fault_budget.*`: how much may be lost at the same time while every invariant still holds.
struct FaultBudget {
    std::uint32_t machines = 0;  // of the machines that are `counted`
    std::uint32_t zones = 0;
    std::uint32_t regions = 0;
};

// Keys `invariants.bounds.*`: the limits that the platform's invariants set.
struct Bounds {
    std::chrono::milliseconds seed_lag{0};         // age of the operator's list of gateways
    std::chrono::milliseconds reuse_after{0};      // time before a terminated host's address is reused
    std::chrono::milliseconds contact{0};          // time a machine must be reachable to be in contact
    std::chrono::milliseconds ack{0};              // time until an operator's request is acknowledged
    std::chrono::milliseconds catch_up{0};         // time a machine that returned still counts as lost
    std::chrono::milliseconds drain{0};            // time a draining host continues to serve
    std::chrono::milliseconds grace{0};            // time from SIGTERM to SIGKILL
    std::chrono::milliseconds loss_slack{0};       // tolerance around the time of a loss
    std::chrono::milliseconds config_apply{0};     // time until an accepted configuration is in force
    std::chrono::milliseconds downgrade_slack{0};  // tolerance around a return to an older version
    std::chrono::milliseconds stretch_max{0};      // added to other bounds while the core is unsettled
    bool revocation_strict = false;                // whether revocation of API keys is enforced strictly
    std::chrono::milliseconds revoke{0};           // time until a revoked API key is refused
    double retry_ratio = 0.0;                      // retries per request, over `retry_window`
    std::chrono::milliseconds retry_window{0};
    double retry_slack = 0.0;  // retries on top of the ratio, in one window
    std::chrono::milliseconds quota_window{0};
    double quota_overshoot = 0.0;           // allowed excess over a quota, as a fraction of it
    double quota_slack = 0.0;               // requests on top of that, in one window
    double cold_overshoot = 0.0;            // factor applied to a service's `cold_per_s`
    double cold_slack = 0.0;                // requests a second on top of that
    std::chrono::milliseconds evacuate{0};  // time until an evacuated zone gets no more requests
    std::chrono::milliseconds recovery{0};  // time until service is restored after a loss
    std::chrono::milliseconds ttl_max{0};   // longest time to live that clients respect
};

// Keys `invariants.*`.
struct Invariants {
    std::set<std::string> active;  // names of the invariants in force
    FaultBudget fault_budget;
    Bounds bounds;
};

// All settings of a process.
struct Settings {
    Self self;
    Network network;
    Substrate substrate;
    Invariants invariants;
};

enum class SettingsErrorKind {
    missing,       // a required key is absent or has no value
    malformed,     // the value has the wrong type, or a line is not key=value
    out_of_range,  // the value has the right type, but is too small or too large
};

// The first error in a settings file.
struct SettingsError {
    std::string key;  // as in the file; for a line without '=' the whole line
    SettingsErrorKind kind = SettingsErrorKind::missing;
    std::string advice;  // what the key accepts, for a person to read
};

using SettingsResult = std::variant<Settings, SettingsError>;

// Parses the complete text of a settings file. Ignores unknown keys, blank lines, lines that begin with '#'
// and unknown words of `self.serves`. If a key occurs several times, the last one counts. An optional key
// that is absent or has no value takes its default (listed by describe_settings).
SettingsResult read_settings(std::string_view text);

// A Markdown table of all keys: name, unit, range, default, meaning.
std::string describe_settings();

}  // namespace dewweir::settings
