#include "settings/fields.h"

#include <utility>

namespace dewweir::settings {
namespace {

// Returns the member of Settings that holds a key's value.
template <typename Value> using Accessor = Value& (*)(Settings&);

// Unit and range columns of the table.
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
Field required_field(std::string_view key, std::string_view unit, std::string_view range,
                     Accessor<Value> access, std::string_view help) {
    auto read = [access](std::string_view text, Settings& settings) {
        return read_value(text, access(settings));
    };
    return {key, unit, range, Presence::required, "", help, read};
}

template <typename Value>
Field optional_field(std::string_view key, std::string_view unit, std::string_view range,
                     std::string_view default_text, Accessor<Value> access, std::string_view help) {
    Field field = required_field(key, unit, range, access, help);
    field.presence = Presence::optional;
    field.default_text = default_text;
    return field;
}

// A key invariants.bounds.*.
template <typename Value>
Field bounds_field(std::string_view key, std::string_view unit, std::string_view range,
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

void add_self(std::vector<Field>& table) {
    using S = Settings;
    table.push_back(required_field<std::string>(
        "self.node", kText, kAny, [](S & s) -> auto& { return s.self.node; }, "name of the machine"));
    table.push_back(required_field<std::string>(
        "self.role", kText, kAny, [](S & s) -> auto& { return s.self.role; }, "role of this process"));
    table.push_back(optional_field<std::string>(
        "self.machine_class", kText, kAny, "", [](S & s) -> auto& { return s.self.machine_class; },
        "class of the machine"));
    table.push_back(optional_field<std::set<ExternalInterface>>(
        "self.serves", kList, "edge, control, directory", "", [](S & s) -> auto& { return s.self.serves; },
        "who may call from outside"));
    table.push_back(ip_field());
    table.push_back(required_field<ZoneName>(
        "self.zone", kText, kAny, [](S & s) -> auto& { return s.self.zone; }, "zone of the machine"));
    table.push_back(required_field<RegionName>(
        "self.region", kText, kAny, [](S & s) -> auto& { return s.self.region; }, "region of the zone"));
    table.push_back(optional_field<bool>(
        "self.counted", kFlag, kAny, "false", [](S & s) -> auto& { return s.self.counted; },
        "the fault budget counts this machine"));
    table.push_back(optional_field<bool>(
        "self.bootstrap", kFlag, kAny, "false", [](S & s) -> auto& { return s.self.bootstrap; },
        "first start of the whole system, on empty disks"));
    table.push_back(optional_field<std::optional<std::string>>(
        "self.state_dir", "path", kAny, "", [](S & s) -> auto& { return s.self.state_dir; },
        "folder on the machine's disk; none where it has no disk"));
}

void add_limits(std::vector<Field>& table) {
    using S = Settings;
    table.push_back(optional_field<double>(
        "self.limits.cpu_share", "cores", kNotNegative, "1",
        [](S & s) -> auto& { return s.self.limits.cpu_share; }, "share of a core"));
    table.push_back(optional_field<double>(
        "self.limits.cores", "factor", kNotNegative, "1", [](S & s) -> auto& { return s.self.limits.cores; },
        "how many times as fast the core runs"));
    table.push_back(optional_field<std::uint64_t>(
        "self.limits.memory_mb", "MB", kNotNegative, "256",
        [](S & s) -> auto& { return s.self.limits.memory_mb; }, "memory; a process above it is killed"));
    table.push_back(optional_field<std::uint64_t>(
        "self.limits.max_fds", "descriptors", kNotNegative, "1024",
        [](S & s) -> auto& { return s.self.limits.max_fds; }, "open descriptors"));
    table.push_back(optional_field<double>(
        "self.limits.link_mbps", "Mbit/s", kNotNegative, "1000",
        [](S & s) -> auto& { return s.self.limits.link_mbps; }, "bandwidth of the machine's link"));
    table.push_back(optional_field<std::uint64_t>(
        "self.limits.disk_mb", "MB", kNotNegative, "0", [](S & s) -> auto& { return s.self.limits.disk_mb; },
        "size of the disk; 0: none"));
}

void add_network(std::vector<Field>& table) {
    using S = Settings;
    using Address = std::optional<Endpoint>;
    table.push_back(optional_field<Address>(
        "network.bind.front", kEndpoint, kPorts, "", [](S & s) -> auto& { return s.network.bind.front; },
        "where clients are served"));
    table.push_back(optional_field<Address>(
        "network.bind.readiness", kEndpoint, kPorts, "",
        [](S & s) -> auto& { return s.network.bind.readiness; }, "where the platform asks for readiness"));
    table.push_back(optional_field<Address>(
        "network.bind.control", kEndpoint, kPorts, "", [](S & s) -> auto& { return s.network.bind.control; },
        "where hosts and the operator are served"));
    table.push_back(optional_field<Address>(
        "network.bind.directory", kEndpoint, kPorts, "",
        [](S & s) -> auto& { return s.network.bind.directory; }, "where clients ask for addresses"));
    table.push_back(required_field<PortRange>(
        "network.ephemeral_ports", "first,last", kPorts,
        [](S & s) -> auto& { return s.network.ephemeral_ports; },
        "ports free for the system's internal connections, both ends included"));
    table.push_back(optional_field<std::vector<Endpoint>>(
        "network.seed_nodes", "list of IPv4:port", kPorts, "",
        [](S & s) -> auto& { return s.network.seed_nodes; },
        "control addresses of a few machines, not always up"));
}

void add_substrate(std::vector<Field>& table) {
    using S = Settings;
    using std::chrono::milliseconds;
    table.push_back(optional_field<std::string>(
        "substrate.discovery", kText, kAny, "cloud", [](S & s) -> auto& { return s.substrate.discovery; },
        "how hosts are found"));
    table.push_back(optional_field<std::string>(
        "substrate.ingress", kText, kAny, "directory", [](S & s) -> auto& { return s.substrate.ingress; },
        "how clients find gateways"));
    table.push_back(optional_field<milliseconds>(
        "substrate.beat_interval", kTime, kUpToAYear, "1s",
        [](S & s) -> auto& { return s.substrate.beat_interval; }, "time between two heartbeats"));
    table.push_back(required_field<Endpoint>(
        "substrate.cloud_api.address", kEndpoint, kPorts,
        [](S & s) -> auto& { return s.substrate.cloud_api.address; }, "the platform's list of hosts"));
    table.push_back(optional_field<double>(
        "substrate.cloud_api.rate_per_s", "calls/s", kNotNegative, "10",
        [](S & s) -> auto& { return s.substrate.cloud_api.rate_per_s; }, "calls of all gateways together"));
    table.push_back(optional_field<std::vector<std::string>>(
        "substrate.cloud_api.duties", kList, kAny, "",
        [](S & s) -> auto& { return s.substrate.cloud_api.duties; }, "what else the platform asks for"));
    table.push_back(optional_field<milliseconds>(
        "substrate.cloud_api.max_lag", kTime, kUpToAYear, "1s",
        [](S & s) -> auto& { return s.substrate.cloud_api.max_lag; }, "by how much the list may lag"));
}

void add_invariants(std::vector<Field>& table) {
    using S = Settings;
    table.push_back(optional_field<std::set<std::string>>(
        "invariants.active_invariants", kList, kAny, "", [](S & s) -> auto& { return s.invariants.active; },
        "parts of the rules in force"));
    table.push_back(optional_field<std::uint32_t>(
        "invariants.fault_budget.machines", "machines", kNotNegative, "1",
        [](S & s) -> auto& { return s.invariants.fault_budget.machines; },
        "counted machines that may be lost at once"));
    table.push_back(optional_field<std::uint32_t>(
        "invariants.fault_budget.zones", "zones", kNotNegative, "0",
        [](S & s) -> auto& { return s.invariants.fault_budget.zones; }, "zones that may be lost at once"));
    table.push_back(optional_field<std::uint32_t>(
        "invariants.fault_budget.regions", "regions", kNotNegative, "0",
        [](S & s) -> auto& { return s.invariants.fault_budget.regions; },
        "regions that may be lost at once"));
}

// Defaults: times are those of the platform's published example; allowances (ratios, slacks, stretch) are the
// strictest that can be used.
void add_bounds(std::vector<Field>& table) {
    using B = Bounds;
    const auto add_time = [&table](std::string_view key, std::string_view default_text,
                                   std::chrono::milliseconds B::*member, std::string_view help) {
        table.push_back(bounds_field(key, kTime, kUpToAYear, default_text, member, help));
    };
    const auto add_number = [&table](std::string_view key, std::string_view unit,
                                     std::string_view default_text, double B::*member,
                                     std::string_view help) {
        table.push_back(bounds_field(key, unit, kNotNegative, default_text, member, help));
    };
    add_time("invariants.bounds.seed_lag", "3s", &B::seed_lag, "age of the operator's list of gateways");
    add_time("invariants.bounds.reuse_after", "2s", &B::reuse_after, "an ended host's address stays unused");
    add_time("invariants.bounds.contact", "4s", &B::contact,
             "for which a machine must be reachable to be in contact");
    add_time("invariants.bounds.ack", "6s", &B::ack, "within which orders are acknowledged");
    add_time("invariants.bounds.catch_up", "4s", &B::catch_up,
             "a machine that returned still counts as lost");
    add_time("invariants.bounds.drain", "3s", &B::drain, "a leaving host goes on serving");
    add_time("invariants.bounds.grace", "6s", &B::grace, "from SIGTERM to SIGKILL");
    add_time("invariants.bounds.loss_slack", "200ms", &B::loss_slack, "allowance around a loss");
    add_time("invariants.bounds.config_apply", "3s", &B::config_apply,
             "within which a configuration is in force");
    add_time("invariants.bounds.downgrade_slack", "250ms", &B::downgrade_slack,
             "allowance around a return to an older version");
    add_time("invariants.bounds.stretch_max", "0ms", &B::stretch_max,
             "an unsettled core adds to other bounds");
    table.push_back(bounds_field("invariants.bounds.revocation_strict", kFlag, kAny, "true",
                                 &B::revocation_strict, "revocation of API keys is strict"));
    add_time("invariants.bounds.revoke", "5s", &B::revoke, "within which a revoked API key is refused");
    add_number("invariants.bounds.retry_ratio", "share", "0.1", &B::retry_ratio, "retries per request");
    add_time("invariants.bounds.retry_window", "10s", &B::retry_window,
             "window over which retry_ratio is taken");
    add_number("invariants.bounds.retry_slack", "requests", "0", &B::retry_slack,
               "retries on top of the ratio");
    add_time("invariants.bounds.quota_window", "5s", &B::quota_window, "window over which quotas are taken");
    add_number("invariants.bounds.quota_overshoot", "share", "0", &B::quota_overshoot,
               "allowed above a quota");
    add_number("invariants.bounds.quota_slack", "requests", "0", &B::quota_slack, "allowed on top of that");
    add_number("invariants.bounds.cold_overshoot", "factor", "1", &B::cold_overshoot,
               "times cold_per_s allowed");
    add_number("invariants.bounds.cold_slack", "requests", "0", &B::cold_slack, "allowed on top of that");
    add_time("invariants.bounds.evacuate", "5s", &B::evacuate,
             "within which an evacuated zone gets no more requests");
    add_time("invariants.bounds.recovery", "15s", &B::recovery, "within which service is back after a loss");
    add_time("invariants.bounds.ttl_max", "5s", &B::ttl_max, "longest ttl that clients keep to");
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
