// Parsing of configurations: the values of a valid one, and every reason for rejecting one.
#include "configuration/parser.h"

#include <catch2/catch.hpp>

#include "configuration/example.h"

namespace dewweir::configuration {
namespace {

using std::chrono::milliseconds;

Configuration accepted(const std::string& json) {
    const ParseResult result = parse_configuration(json);
    const auto* rejection = std::get_if<Rejection>(&result);
    INFO((rejection == nullptr ? "accepted" : rejection->path + ": " + rejection->advice));
    REQUIRE(rejection == nullptr);
    return std::get<Configuration>(result);
}

Rejection rejected(const std::string& json) {
    const ParseResult result = parse_configuration(json);
    REQUIRE(std::holds_alternative<Rejection>(result));
    return std::get<Rejection>(result);
}

TEST_CASE("the routes of the example are parsed") {
    const Configuration configuration = accepted(kExample);
    CHECK(configuration.epoch == Version{7});
    REQUIRE(configuration.routes.size() == 2);
    const Route& split = configuration.routes[0];
    CHECK(split.name == "r-sz9frge");
    CHECK(split.hostname == "jepu9.example");
    CHECK(split.path_prefix == "/lepu270/");
    CHECK(split.route_class == RouteClass::idempotent);
    CHECK(split.deadline == milliseconds{3000});
    CHECK(split.target_latency == milliseconds{800});
    CHECK(split.priority == 2);
    CHECK(split.max_tries == 2);
    CHECK(split.anonymous);
    CHECK(split.home_regions.empty());
    REQUIRE(split.backends.size() == 2);
    CHECK(split.backends[0].service == "huvo11a");
    CHECK(split.backends[0].weight == 90.0);
    CHECK(split.backends[1].service == "kafi81c");
    CHECK(split.backends[1].weight == 10.0);
    const Route& single = configuration.routes[1];
    CHECK(single.route_class == RouteClass::mutating);
    CHECK_FALSE(single.anonymous);
    CHECK(single.home_regions == std::vector<RegionName>{"zagreb", "split"});
    REQUIRE(single.backends.size() == 1);
    CHECK(single.backends[0].service == "wuno96b");
    CHECK(single.backends[0].weight == 1.0);
}

TEST_CASE("the services, limits and tenants of the example are parsed") {
    const Configuration configuration = accepted(kExample);
    REQUIRE(configuration.services.size() == 3);
    const Service& service = configuration.services[1];
    CHECK(service.name == "wuno96b");
    CHECK(service.health_path == "/health");
    CHECK(service.max_conns == 130);
    CHECK(service.protocol == "h1");
    CHECK_FALSE(service.tls);
    CHECK(service.warmup == milliseconds{3000});
    CHECK(service.cold_per_s == 4.1);
    CHECK(configuration.limits.max_header_bytes == 16384);
    CHECK(configuration.limits.max_body_bytes == 67108864);
    CHECK(configuration.limits.header_timeout == milliseconds{3000});
    CHECK(configuration.limits.idle_timeout == milliseconds{15000});
    CHECK(configuration.has_tenants);
    REQUIRE(configuration.tenants.size() == 2);
    const Tenant& tenant = configuration.tenants[0];
    CHECK(tenant.name == "yefi830");
    CHECK(tenant.api_keys == std::vector<std::string>{"tnfzs989anu6wsjnbanf", "qasnmgkcuyj8pjbvk9m6"});
    CHECK(tenant.priority == 0u);
    CHECK(tenant.rate_per_s == 61.0);
    CHECK(tenant.burst == 61.0);
    CHECK(tenant.has_quota());
    const Tenant& bare = configuration.tenants[1];
    CHECK_FALSE(bare.priority);
    CHECK_FALSE(bare.has_quota());
    CHECK(bare.burst == 0.0);
}

// A change of the example that keeps it valid.
struct Change {
    std::string pointer;
    std::string json;
};

TEST_CASE("unusual but valid values are accepted") {
    const auto change = GENERATE(values<Change>({
        {"/tenants", "[]"},
        {"/tenants/0/rate_per_s", "0"},
        {"/tenants/0/rate_per_s", "0.25"},
        {"/tenants/0/burst", "null"},
        {"/tenants/0/api_keys", "[]"},
        {"/tenants/0/api_keys", R"(["same","same"])"},
        {"/routes", "[]"},
        {"/routes/0/weighted_backends/0/weight", "0"},
        {"/routes/0/weighted_backends/0/weight", "0.5"},
        {"/routes/0/weighted_backends/1/backend", R"("huvo11a")"},
        {"/routes/0/backend", "null"},
        {"/routes/1/weighted_backends", "null"},
        {"/routes/1/weighted_backends", "[]"},
        {"/routes/0/priority", "2.0"},
        {"/routes/0/path_prefix", R"("/")"},
        {"/routes/0/deadline", R"("10e1s")"},
        {"/routes/0/deadline", R"("600s")"},
        {"/routes/0/target_latency", R"("62.999s")"},
        {"/routes/0/novel", R"({"a":[1,null]})"},
        {"/routes/1/hostname", R"("jepu9.example")"},
        {"/services/0/cold_per_s", "4"},
        {"/epoch", R"("000000AF")"},
        {"/novel", "[{}]"},
    }));
    INFO(change.pointer << " = " << change.json);
    accepted(changed(change.pointer, change.json));
}

TEST_CASE("absent optional fields take their defaults") {
    CHECK(accepted(without("/limits")).limits.max_header_bytes == 16384);
    CHECK_FALSE(accepted(without("/tenants")).has_tenants);
    CHECK_FALSE(accepted(changed("/tenants", "null")).has_tenants);
    CHECK(accepted(changed("/tenants", "[]")).has_tenants);
    CHECK(accepted(without("/routes/0/max_tries")).routes[0].max_tries == 1);
    CHECK(accepted(changed("/routes/0/max_tries", "0")).routes[0].max_tries == 1);
    CHECK(accepted(without("/routes/0/priority")).routes[0].priority == 0);
    CHECK_FALSE(accepted(without("/routes/0/anonymous")).routes[0].anonymous);
    CHECK(accepted(without("/routes/1/home_regions")).routes[1].home_regions.empty());
    CHECK_FALSE(accepted(without("/services/0/cold_per_s")).services[0].cold_per_s);
    CHECK(accepted(without("/services/0/warmup")).services[0].warmup == milliseconds{0});
}

// A change that makes the example invalid, and the expected rejection.
struct InvalidChange {
    std::string pointer;
    std::string json;
    Reason reason;
    std::string path;  // path of the rejection; empty if it is the pointer
};

TEST_CASE("an invalid value is rejected with the reason and its path") {
    const auto bad = GENERATE(values<InvalidChange>({
        {"/epoch", R"("7")", Reason::malformed_epoch, ""},
        {"/epoch", R"("0000000g")", Reason::malformed_epoch, ""},
        {"/epoch", R"("-0000001")", Reason::malformed_epoch, ""},
        {"/epoch", "7", Reason::wrong_type, ""},
        {"/routes", "{}", Reason::wrong_type, ""},
        {"/routes/1", "7", Reason::wrong_type, ""},
        {"/routes/0/priority", "1.5", Reason::wrong_type, ""},
        {"/routes/0/priority", "-1", Reason::negative_number, ""},
        {"/routes/0/priority", "4294967296", Reason::number_out_of_range, ""},
        {"/routes/0/anonymous", "1", Reason::wrong_type, ""},
        {"/routes/0/route_class", R"("safe")", Reason::unknown_route_class, ""},
        {"/routes/0/deadline", R"("3000")", Reason::malformed_time, ""},
        {"/routes/0/deadline", "3000", Reason::wrong_type, ""},
        {"/routes/0/deadline", R"("-3s")", Reason::negative_number, ""},
        {"/routes/0/deadline", R"("600001ms")", Reason::deadline_too_long, ""},
        {"/routes/0/deadline", R"("600000.1ms")", Reason::deadline_too_long, ""},
        {"/routes/0/target_latency", R"("63s")", Reason::target_latency_too_long, ""},
        {"/routes/0/path_prefix", R"("/lepu270")", Reason::malformed_path_prefix, ""},
        {"/routes/0/path_prefix", R"("lepu270/")", Reason::malformed_path_prefix, ""},
        {"/routes/0/path_prefix", R"("")", Reason::malformed_path_prefix, ""},
        {"/routes/1/backend", R"("nobody")", Reason::unknown_service, ""},
        {"/routes/0/weighted_backends/1/backend", R"("nobody")", Reason::unknown_service,
         "/routes/0/backend"},
        {"/routes/0/weighted_backends", R"([{"backend":"huvo11a","weight":0}])", Reason::weights_sum_to_zero,
         ""},
        {"/routes/0/weighted_backends", "[]", Reason::weights_sum_to_zero, ""},
        {"/routes/0/weighted_backends/0/weight", "-90", Reason::negative_number, ""},
        {"/routes/0/weighted_backends",
         R"([{"backend":"huvo11a","weight":1e308},{"backend":"huvo11a","weight":1e308}])",
         Reason::number_out_of_range, ""},
        {"/routes/1/name", R"("r-sz9frge")", Reason::duplicate_name, ""},
        {"/services/2/name", R"("huvo11a")", Reason::duplicate_name, ""},
        {"/tenants/1/name", R"("yefi830")", Reason::duplicate_name, ""},
        {"/tenants/1/api_keys", R"(["qasnmgkcuyj8pjbvk9m6"])", Reason::duplicate_api_key, ""},
        {"/tenants/0/rate_per_s", "-1", Reason::negative_number, ""},
        {"/tenants/0/api_keys/1", "7", Reason::wrong_type, ""},
        {"/limits/idle_timeout", R"("soon")", Reason::malformed_time, ""},
        {"/limits/max_body_bytes", "-1", Reason::negative_number, ""},
    }));
    INFO(bad.pointer << " = " << bad.json);
    const Rejection rejection = rejected(changed(bad.pointer, bad.json));
    CHECK(to_string(rejection.reason) == to_string(bad.reason));
    CHECK(rejection.path == (bad.path.empty() ? bad.pointer : bad.path));
    CHECK_FALSE(rejection.advice.empty());
    CHECK(rejection.advice.find("qasnmgkcuyj8pjbvk9m6") == std::string::npos);
}

TEST_CASE("a part that can never be served is rejected in a proposal, accepted in the version in force") {
    const auto bad = GENERATE(values<InvalidChange>({
        {"/routes/0/deadline", R"("0ms")", Reason::deadline_too_short, ""},
        {"/routes/1/deadline", R"("0s")", Reason::deadline_too_short, ""},
        {"/routes/1/deadline", R"("0.0s")", Reason::deadline_too_short, ""},
        {"/routes/1/hostname", R"("")", Reason::empty_hostname, ""},
        {"/services/2/max_conns", "0", Reason::no_connections, ""},
        {"/limits/max_header_bytes", "0", Reason::limit_too_small, ""},
        {"/limits/header_timeout", R"("0ms")", Reason::limit_too_small, ""},
        {"/limits/idle_timeout", R"("0ms")", Reason::limit_too_small, ""},
    }));
    INFO(bad.pointer << " = " << bad.json);
    const std::string text = changed(bad.pointer, bad.json);
    const ParseResult proposal = parse_proposal(text);
    const auto* const rejection = std::get_if<Rejection>(&proposal);
    REQUIRE(rejection);
    CHECK(to_string(rejection->reason) == to_string(bad.reason));
    CHECK(rejection->path == bad.pointer);
    CHECK_FALSE(rejection->advice.empty());
    accepted(text);
}

TEST_CASE("a proposal with the least servable values is accepted; other checks apply to proposals too") {
    const auto good = GENERATE(values<Change>({
        {"/routes/0/deadline", R"("1ms")"},
        {"/routes/0/target_latency", R"("0ms")"},
        {"/services/0/max_conns", "1"},
        {"/limits/max_header_bytes", "1"},
        {"/limits/max_body_bytes", "0"},
        {"/limits/idle_timeout", R"("1ms")"},
        {"/tenants/0/rate_per_s", "0"},
    }));
    INFO(good.pointer << " = " << good.json);
    CHECK(std::holds_alternative<Configuration>(parse_proposal(changed(good.pointer, good.json))));
    CHECK(std::holds_alternative<Rejection>(parse_proposal(changed("/routes/1/backend", R"("nobody")"))));
}

TEST_CASE("a missing required field is reported with its path") {
    const auto pointer = GENERATE(
        as<std::string>{}, "/epoch", "/routes", "/services", "/routes/0/name", "/routes/0/hostname",
        "/routes/0/path_prefix", "/routes/0/route_class", "/routes/0/deadline", "/routes/0/target_latency",
        "/routes/1/backend", "/routes/0/weighted_backends/0/backend", "/routes/0/weighted_backends/0/weight",
        "/services/0/name", "/services/0/health_path", "/services/0/max_conns", "/tenants/0/name");
    const Rejection rejection = rejected(without(pointer));
    CHECK(rejection.reason == Reason::missing_field);
    CHECK(rejection.path == pointer);
}

TEST_CASE("two routes with the same prefix and host, in whatever case, are rejected") {
    rapidjson::Document document;
    document.Parse(changed("/routes/1/hostname", R"("JEPU9.example")").c_str());
    rapidjson::Pointer("/routes/1/path_prefix").Set(document, "/lepu270/");
    const Rejection rejection = rejected(write(document));
    CHECK(rejection.reason == Reason::duplicate_route_match);
    CHECK(rejection.path == "/routes/1/path_prefix");
}

TEST_CASE("a truncated text is rejected, wherever it ends") {
    for (std::size_t length = 0; length < kExample.size(); ++length) {
        REQUIRE(rejected(kExample.substr(0, length)).reason == Reason::not_json);
    }
}

TEST_CASE("other texts that are not JSON are rejected") {
    CHECK(std::holds_alternative<Rejection>(parse_configuration({})));
    CHECK(rejected(kExample + "x").reason == Reason::not_json);
    CHECK(rejected(kExample + std::string("\0x", 2)).reason == Reason::not_json);
    CHECK(rejected("\xff\xfe").reason == Reason::not_json);
    CHECK(rejected(std::string(1'000'000, '[')).reason == Reason::not_json);
    CHECK(rejected(R"({"epoch":NaN})").reason == Reason::not_json);
    CHECK(rejected("[]").reason == Reason::wrong_type);
    CHECK(rejected("null").reason == Reason::wrong_type);
}

TEST_CASE("an epoch must be greater than the one in force") {
    const Configuration next = accepted(kExample);
    CHECK_FALSE(check_follows(next, std::nullopt));
    CHECK_FALSE(check_follows(next, Version{6}));
    CHECK(check_follows(next, Version{7})->reason == Reason::epoch_not_greater);
    CHECK(check_follows(next, Version{8})->reason == Reason::epoch_not_greater);
    const Configuration zero = accepted(changed("/epoch", R"("00000000")"));
    CHECK(check_follows(zero, std::nullopt)->reason == Reason::epoch_not_greater);
}

}  // namespace
}  // namespace dewweir::configuration
