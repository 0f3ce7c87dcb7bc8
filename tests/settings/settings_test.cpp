// Parsing of settings files: all values of the example, defaults, and errors that name their key.
#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "settings/example.h"

namespace dewweir::settings {
namespace {

using std::chrono::milliseconds;

Settings parsed(const std::string& text) {
    const SettingsResult result = read_settings(text);
    const auto* error = std::get_if<SettingsError>(&result);
    INFO((error == nullptr ? "parsed" : error->key + ": " + error->advice));
    REQUIRE(error == nullptr);
    return std::get<Settings>(result);
}

SettingsError read_error(const std::string& text) {
    const SettingsResult result = read_settings(text);
    REQUIRE(std::holds_alternative<SettingsError>(result));
    return std::get<SettingsError>(result);
}

std::string without(std::string text, const std::string& key) {
    const std::size_t start = text.find(key + '=');
    return text.erase(start, text.find('\n', start) - start + 1);
}

Endpoint endpoint(std::string_view text) { return parse_endpoint(text).value(); }

TEST_CASE("the keys self and network of the example are parsed") {
    const Settings settings = parsed(kCoreMachine);
    const Self& self = settings.self;
    CHECK(self.node == "core-zg-dubrava-1");
    CHECK(self.role == "my-core");
    CHECK(self.machine_class == "core");
    CHECK(self.serves ==
          std::set<ExternalInterface>{ExternalInterface::control, ExternalInterface::directory});
    CHECK(self.ip == 0x0a010018);
    CHECK(self.zone == "zg-dubrava");
    CHECK(self.region == "zagreb");
    CHECK(self.counted);
    CHECK(self.bootstrap);
    CHECK(self.state_dir == "/data/my-core");
    CHECK(self.limits.cpu_share == 0.6);
    CHECK(self.limits.cores == 1.0);
    CHECK(self.limits.memory_mb == 256);
    CHECK(self.limits.max_fds == 4096);
    CHECK(self.limits.link_mbps == 1000.0);
    CHECK(self.limits.disk_mb == 512);
    const Network& network = settings.network;
    CHECK_FALSE(network.bind.front);
    CHECK_FALSE(network.bind.readiness);
    CHECK(network.bind.control == endpoint("10.1.0.24:8383"));
    CHECK(network.bind.directory == endpoint("10.1.0.24:8385"));
    CHECK(network.ephemeral_ports.first == 7460);
    CHECK(network.ephemeral_ports.last == 7475);
    CHECK(network.seed_nodes.size() == 3);
    CHECK(network.seed_nodes.back() == endpoint("10.3.0.35:8383"));
    CHECK(network.zones ==
          std::map<ZoneName, RegionName>{{"zg-dubrava", "zagreb"}, {"st-kopilica", "split"}});
}

TEST_CASE("the keys substrate and invariants of the example are parsed") {
    const Settings settings = parsed(kCoreMachine);
    const Substrate& substrate = settings.substrate;
    CHECK(substrate.discovery == "cloud");
    CHECK(substrate.ingress == "directory");
    CHECK(substrate.beat_interval == milliseconds{1500});
    CHECK(substrate.cloud_api.address == endpoint("10.200.0.136:8382"));
    CHECK(substrate.cloud_api.rate_per_s == 43.0);
    CHECK(substrate.cloud_api.duties.empty());
    CHECK(substrate.cloud_api.max_lag == milliseconds{800});
    const Invariants& invariants = settings.invariants;
    CHECK(invariants.active == std::set<std::string>{"base", "drain", "quota"});
    CHECK(invariants.fault_budget.machines == 2);
    CHECK(invariants.fault_budget.zones == 1);
    CHECK(invariants.fault_budget.regions == 1);
    const Bounds& bounds = invariants.bounds;
    CHECK(bounds.seed_lag == milliseconds{3100});
    CHECK(bounds.reuse_after == milliseconds{2100});
    CHECK(bounds.contact == milliseconds{4100});
    CHECK(bounds.ack == milliseconds{6100});
    CHECK(bounds.catch_up == milliseconds{4100});
    CHECK(bounds.drain == milliseconds{3100});
    CHECK(bounds.grace == milliseconds{6100});
    CHECK(bounds.loss_slack == milliseconds{210});
    CHECK(bounds.config_apply == milliseconds{3200});
    CHECK(bounds.downgrade_slack == milliseconds{260});
    CHECK(bounds.stretch_max == milliseconds{8000});
    CHECK_FALSE(bounds.revocation_strict);
    CHECK(bounds.revoke == milliseconds{5100});
    CHECK(bounds.retry_ratio == 0.2);
    CHECK(bounds.retry_window == milliseconds{10100});
    CHECK(bounds.retry_slack == 62.0);
    CHECK(bounds.quota_window == milliseconds{5100});
    CHECK(bounds.quota_overshoot == 0.15);
    CHECK(bounds.quota_slack == 20.0);
    CHECK(bounds.cold_overshoot == 1.5);
    CHECK(bounds.cold_slack == 5.0);
    CHECK(bounds.evacuate == milliseconds{5200});
    CHECK(bounds.recovery == milliseconds{15100});
    CHECK(bounds.ttl_max == milliseconds{5300});
}

TEST_CASE(
    "the last of several lines counts, unknown and blank lines are ignored, LF and CRLF both end lines") {
    const std::string more =
        "\nself.zone=later\r\nself.novel.thing=1\nself.node.novel=1\nself.serves=edge,novel\n"
        "# a "
        "remark\nnetwork.zones.7=seven\nnetwork.zones.a.b=dotted\nself.node=last\nself.node.novel=2\nnetwork."
        "bind=novel\nnetwork=novel";
    const Settings settings = parsed(kCoreMachine + more);
    CHECK(settings.self.zone == "later");
    CHECK(settings.self.node == "last");
    CHECK(settings.self.serves == std::set<ExternalInterface>{ExternalInterface::edge});
    CHECK(settings.network.bind.control);
    CHECK(settings.network.zones.at("7") == "seven");
    CHECK(settings.network.zones.at("a.b") == "dotted");
}

TEST_CASE("a missing required key is reported by name") {
    const auto key = GENERATE("self.node", "self.role", "self.ip", "self.zone", "self.region",
                              "network.ephemeral_ports", "substrate.cloud_api.address");
    const SettingsError error = read_error(without(kCoreMachine, key));
    CHECK(error.key == key);
    CHECK(error.kind == SettingsErrorKind::missing);
    CHECK_FALSE(error.advice.empty());
    CHECK(read_error(kCoreMachine + key + "=").kind == SettingsErrorKind::missing);
}

TEST_CASE("a file with only the required keys takes the defaults") {
    const Settings settings = parsed(
        "self.node=n\nself.role=r\nself.ip=10.0.0.1\nself.zone=z\nself.region=g\n"
        "network.ephemeral_ports=7460,7475\nsubstrate.cloud_api.address=10.0.0.2:80\n");
    CHECK(settings.self.serves.empty());
    CHECK_FALSE(settings.self.bootstrap);
    CHECK_FALSE(settings.self.state_dir);
    CHECK(settings.network.seed_nodes.empty());
    CHECK(settings.substrate.beat_interval == milliseconds{1000});
    CHECK(settings.invariants.bounds.config_apply == milliseconds{3000});
    CHECK(settings.invariants.bounds.revocation_strict);
    CHECK(settings.invariants.bounds.cold_overshoot == 1.0);
}

struct BadLine {
    std::string key;
    std::string value;
    SettingsErrorKind kind;  // expected
};

TEST_CASE("values of the wrong type or out of range are reported by key") {
    const auto bad = GENERATE(values<BadLine>({
        {"self.ip", "10.1.0.256", SettingsErrorKind::malformed},
        {"self.counted", "yes", SettingsErrorKind::malformed},
        {"self.limits.max_fds", "many", SettingsErrorKind::malformed},
        {"self.limits.max_fds", "4.5", SettingsErrorKind::malformed},
        {"self.limits.max_fds", "-4", SettingsErrorKind::out_of_range},
        {"self.limits.cpu_share", "nan", SettingsErrorKind::malformed},
        {"network.bind.front", "10.1.0.24", SettingsErrorKind::malformed},
        {"network.seed_nodes", "10.1.0.24:8383,core:8383", SettingsErrorKind::malformed},
        {"network.ephemeral_ports", "7460", SettingsErrorKind::malformed},
        {"network.ephemeral_ports", "7475,7460", SettingsErrorKind::out_of_range},
        {"network.ephemeral_ports", "7460,70000", SettingsErrorKind::out_of_range},
        {"invariants.bounds.ack", "6", SettingsErrorKind::malformed},
        {"invariants.bounds.ack", "-6s", SettingsErrorKind::out_of_range},
        {"invariants.bounds.retry_ratio", "-0.1", SettingsErrorKind::out_of_range},
        {"invariants.fault_budget.zones", "4294967296", SettingsErrorKind::out_of_range},
    }));
    const SettingsError error = read_error(kCoreMachine + bad.key + '=' + bad.value);
    CHECK(error.key == bad.key);
    CHECK(error.kind == bad.kind);
}

TEST_CASE("a line without a key is rejected") {
    CHECK(read_error(kCoreMachine + "self.no").key == "self.no");
    CHECK(read_error(kCoreMachine + "=value").kind == SettingsErrorKind::malformed);
}

TEST_CASE("the description lists every key of the example") {
    const std::string table = describe_settings();
    CHECK(table.find("| `self.node` | text | any | required | name of the machine |") != std::string::npos);
    std::istringstream lines(
        without(without(kCoreMachine, "network.zones.zg-dubrava"), "network.zones.st-kopilica"));
    for (std::string line; std::getline(lines, line);) {
        const std::string key = line.substr(0, line.find('='));
        CHECK(table.find("| `" + key + "` |") != std::string::npos);
    }
    CHECK(table.find("| `network.zones.ZONE` |") != std::string::npos);
}

}  // namespace
}  // namespace dewweir::settings
