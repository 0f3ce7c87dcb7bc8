#include "settings/fields.h"

#include <utility>

namespace dewweir::settings {
namespace {

// Where a value is kept.
template <typename Value> using Place = Value& (*)(Settings&);

// Words for units and ranges.
constexpr std::string_view kText = "text";
constexpr std::string_view kTime = "time (ms or s)";
constexpr std::string_view kFlag = "true or false";
constexpr std::string_view kEndpoint = "IPv4:port";
constexpr std::string_view kList = "list";
constexpr std::string_view kAny = "any";
constexpr std::string_view kNotNegative = "0 or more";
constexpr std::string_view kUpToAYear = "0ms to a year";
constexpr std::string_view kPorts = "1 to 65535";

template <typename Value>
Field required(std::string_view key, std::string_view unit, std::string_view range, Place<Value> place,
               std::string_view help) {
    auto read = [place](std::string_view text, Settings& settings) {
        return read_value(text, place(settings));
    };
    return {key, unit, range, Presence::required, "", help, read};
}

template <typename Value>
Field optional(std::string_view key, std::string_view unit, std::string_view range,
               std::string_view default_text, Place<Value> place, std::string_view help) {
    Field field = required(key, unit, range, place, help);
    field.presence = Presence::optional;
    field.default_text = default_text;
    return field;
}

// One of the rules' figures.
template <typename Value>
Field bound(std::string_view key, std::string_view unit, std::string_view range,
            std::string_view default_text, Value Bounds::*member, std::string_view help) {
    auto read = [member](std::string_view text, Settings& settings) {
        return read_value(text, settings.invariants.bounds.*member);
    };
    return {key, unit, range, Presence::optional, default_text, help, read};
}

Field ip_field() {
    auto read = [](std::string_view text, Settings& settings) { return read_ip(text, settings.self.ip); };
    return {"self.ip", "IPv4", kAny, Presence::required, "", "address of the machine", read};
}

void add_self(std::vector<Field>& to) {
    using S = Settings;
    to.push_back(required<std::string>(
        "self.node", kText, kAny, [](S & s) -> auto& { return s.self.node; }, "name of the machine"));
    to.push_back(required<std::string>(
        "self.role", kText, kAny, [](S & s) -> auto& { return s.self.role; }, "role of this process"));
    to.push_back(optional<std::string>(
        "self.machine_class", kText, kAny, "", [](S & s) -> auto& { return s.self.machine_class; },
        "class of the machine"));
    to.push_back(optional<std::set<Serves>>(
        "self.serves", kList, "edge, control, directory", "", [](S & s) -> auto& { return s.self.serves; },
        "who may call from outside"));
    to.push_back(ip_field());
    to.push_back(required<ZoneName>(
        "self.zone", kText, kAny, [](S & s) -> auto& { return s.self.zone; }, "zone of the machine"));
    to.push_back(required<RegionName>(
        "self.region", kText, kAny, [](S & s) -> auto& { return s.self.region; }, "region of the zone"));
    to.push_back(optional<bool>(
        "self.counted", kFlag, kAny, "false", [](S & s) -> auto& { return s.self.counted; },
        "the fault budget counts this machine"));
    to.push_back(optional<bool>(
        "self.bootstrap", kFlag, kAny, "false", [](S & s) -> auto& { return s.self.bootstrap; },
        "first start of the whole system, on empty disks"));
    to.push_back(optional<std::optional<std::string>>(
        "self.state_dir", "path", kAny, "", [](S & s) -> auto& { return s.self.state_dir; },
        "folder on the machine's disk; none where it has no disk"));
}

void add_limits(std::vector<Field>& to) {
    using S = Settings;
    to.push_back(optional<double>(
        "self.limits.cpu_share", "cores", kNotNegative, "1",
        [](S & s) -> auto& { return s.self.limits.cpu_share; }, "share of a core"));
    to.push_back(optional<double>(
        "self.limits.cores", "factor", kNotNegative, "1", [](S & s) -> auto& { return s.self.limits.cores; },
        "how many times as fast the core runs"));
    to.push_back(optional<std::uint64_t>(
        "self.limits.memory_mb", "MB", kNotNegative, "256",
        [](S & s) -> auto& { return s.self.limits.memory_mb; }, "memory; a process above it is killed"));
    to.push_back(optional<std::uint64_t>(
        "self.limits.max_fds", "descriptors", kNotNegative, "1024",
        [](S & s) -> auto& { return s.self.limits.max_fds; }, "open descriptors"));
    to.push_back(optional<double>(
        "self.limits.link_mbps", "Mbit/s", kNotNegative, "1000",
        [](S & s) -> auto& { return s.self.limits.link_mbps; }, "bandwidth of the machine's link"));
    to.push_back(optional<std::uint64_t>(
        "self.limits.disk_mb", "MB", kNotNegative, "0", [](S & s) -> auto& { return s.self.limits.disk_mb; },
        "size of the disk; 0: none"));
}

void add_network(std::vector<Field>& to) {
    using S = Settings;
    using Address = std::optional<Endpoint>;
    to.push_back(optional<Address>(
        "network.bind.front", kEndpoint, kPorts, "", [](S & s) -> auto& { return s.network.bind.front; },
        "where clients are served"));
    to.push_back(optional<Address>(
        "network.bind.readiness", kEndpoint, kPorts, "",
        [](S & s) -> auto& { return s.network.bind.readiness; }, "where the platform asks for readiness"));
    to.push_back(optional<Address>(
        "network.bind.control", kEndpoint, kPorts, "", [](S & s) -> auto& { return s.network.bind.control; },
        "where hosts and the operator are served"));
    to.push_back(optional<Address>(
        "network.bind.directory", kEndpoint, kPorts, "",
        [](S & s) -> auto& { return s.network.bind.directory; }, "where clients ask for addresses"));
    to.push_back(required<PortRange>(
        "network.ephemeral_ports", "first,last", kPorts,
        [](S & s) -> auto& { return s.network.ephemeral_ports; },
        "ports free for the system's own talk, both ends included"));
    to.push_back(optional<std::vector<Endpoint>>(
        "network.seed_nodes", "list of IPv4:port", kPorts, "",
        [](S & s) -> auto& { return s.network.seed_nodes; },
        "control addresses of a few machines, not always up"));
}

void add_substrate(std::vector<Field>& to) {
    using S = Settings;
    using std::chrono::milliseconds;
    to.push_back(optional<std::string>(
        "substrate.discovery", kText, kAny, "cloud", [](S & s) -> auto& { return s.substrate.discovery; },
        "how hosts are found"));
    to.push_back(optional<std::string>(
        "substrate.ingress", kText, kAny, "directory", [](S & s) -> auto& { return s.substrate.ingress; },
        "how clients find gateways"));
    to.push_back(optional<milliseconds>(
        "substrate.beat_interval", kTime, kUpToAYear, "1s",
        [](S & s) -> auto& { return s.substrate.beat_interval; }, "time between two heartbeats"));
    to.push_back(required<Endpoint>(
        "substrate.cloud_api.address", kEndpoint, kPorts,
        [](S & s) -> auto& { return s.substrate.cloud_api.address; }, "the platform's list of hosts"));
    to.push_back(optional<double>(
        "substrate.cloud_api.rate_per_s", "calls/s", kNotNegative, "10",
        [](S & s) -> auto& { return s.substrate.cloud_api.rate_per_s; }, "calls of all gateways together"));
    to.push_back(optional<std::vector<std::string>>(
        "substrate.cloud_api.duties", kList, kAny, "",
        [](S & s) -> auto& { return s.substrate.cloud_api.duties; }, "what else the platform asks for"));
    to.push_back(optional<milliseconds>(
        "substrate.cloud_api.max_lag", kTime, kUpToAYear, "1s",
        [](S & s) -> auto& { return s.substrate.cloud_api.max_lag; }, "how far the list runs behind"));
}

void add_invariants(std::vector<Field>& to) {
    using S = Settings;
    to.push_back(optional<std::set<std::string>>(
        "invariants.active_invariants", kList, kAny, "", [](S & s) -> auto& { return s.invariants.active; },
        "parts of the rules in force"));
    to.push_back(optional<std::uint32_t>(
        "invariants.fault_budget.machines", "machines", kNotNegative, "1",
        [](S & s) -> auto& { return s.invariants.fault_budget.machines; },
        "counted machines that may be lost at once"));
    to.push_back(optional<std::uint32_t>(
        "invariants.fault_budget.zones", "zones", kNotNegative, "0",
        [](S & s) -> auto& { return s.invariants.fault_budget.zones; }, "zones that may be lost at once"));
    to.push_back(optional<std::uint32_t>(
        "invariants.fault_budget.regions", "regions", kNotNegative, "0",
        [](S & s) -> auto& { return s.invariants.fault_budget.regions; },
        "regions that may be lost at once"));
}

// By default times are as in the published example, and allowances (ratios, slacks, stretch) as strict as can
// be used.
void add_bounds(std::vector<Field>& to) {
    using B = Bounds;
    const auto time = [&to](std::string_view key, std::string_view by_default,
                            std::chrono::milliseconds B::*member, std::string_view help) {
        to.push_back(bound(key, kTime, kUpToAYear, by_default, member, help));
    };
    const auto number = [&to](std::string_view key, std::string_view unit, std::string_view by_default,
                              double B::*member, std::string_view help) {
        to.push_back(bound(key, unit, kNotNegative, by_default, member, help));
    };
    time("invariants.bounds.seed_lag", "3s", &B::seed_lag, "age of the operator's list of gateways");
    time("invariants.bounds.reuse_after", "2s", &B::reuse_after, "an ended host's address stays unused");
    time("invariants.bounds.contact", "4s", &B::contact,
         "for which a machine must be reachable to be in touch");
    time("invariants.bounds.ack", "6s", &B::ack, "within which orders are acknowledged");
    time("invariants.bounds.catch_up", "4s", &B::catch_up, "a machine that returned still counts as lost");
    time("invariants.bounds.drain", "3s", &B::drain, "a leaving host goes on serving");
    time("invariants.bounds.grace", "6s", &B::grace, "from SIGTERM to SIGKILL");
    time("invariants.bounds.loss_slack", "200ms", &B::loss_slack, "allowance around a loss");
    time("invariants.bounds.config_apply", "3s", &B::config_apply,
         "within which a configuration is in force");
    time("invariants.bounds.downgrade_slack", "250ms", &B::downgrade_slack,
         "allowance around a return to older");
    time("invariants.bounds.stretch_max", "0ms", &B::stretch_max, "an unsettled core adds to other bounds");
    to.push_back(bound("invariants.bounds.revocation_strict", kFlag, kAny, "true", &B::revocation_strict,
                       "keys taken away count strictly"));
    time("invariants.bounds.revoke", "5s", &B::revoke, "within which a key taken away is refused");
    number("invariants.bounds.retry_ratio", "share", "0.1", &B::retry_ratio, "second sendings per request");
    time("invariants.bounds.retry_window", "10s", &B::retry_window, "window over which retry_ratio is taken");
    number("invariants.bounds.retry_slack", "requests", "0", &B::retry_slack,
           "second sendings on top of the ratio");
    time("invariants.bounds.quota_window", "5s", &B::quota_window, "window over which quotas are taken");
    number("invariants.bounds.quota_overshoot", "share", "0", &B::quota_overshoot, "allowed above a quota");
    number("invariants.bounds.quota_slack", "requests", "0", &B::quota_slack, "allowed on top of that");
    number("invariants.bounds.cold_overshoot", "factor", "1", &B::cold_overshoot, "times cold_per_s allowed");
    number("invariants.bounds.cold_slack", "requests", "0", &B::cold_slack, "allowed on top of that");
    time("invariants.bounds.evacuate", "5s", &B::evacuate,
         "within which an evacuated zone gets no more requests");
    time("invariants.bounds.recovery", "15s", &B::recovery, "within which service is back after a loss");
    time("invariants.bounds.ttl_max", "5s", &B::ttl_max, "longest ttl that clients keep to");
}

std::vector<Field> make_fields() {
    std::vector<Field> all;
    add_self(all);
    add_limits(all);
    add_network(all);
    add_substrate(all);
    add_invariants(all);
    add_bounds(all);
    return all;
}

}  // namespace

const std::vector<Field>& fields() {
    static const std::vector<Field> all = make_fields();
    return all;
}

}  // namespace dewweir::settings
