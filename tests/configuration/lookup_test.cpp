// Text forms of versions, and lookup of routes and tenants.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "configuration/route_table.h"
#include "configuration/version.h"

namespace dewweir::configuration {
namespace {

TEST_CASE("a version is eight hexadecimal digits") {
    CHECK(parse_version("0000000c") == Version{12});
    CHECK(parse_version("FFFFffff") == Version{0xffffffff});
    CHECK(to_string(Version{12}) == "0000000c");
    CHECK(to_string(Version{0xdeadbeef}) == "deadbeef");
    const auto text =
        GENERATE("", "c", "000000c", "00000000c", "0x00000c", "-000000c", "+000000c", "0000 00c", "0000000g");
    CHECK_FALSE(parse_version(text));
}

TEST_CASE("If-Match holds a version or 0, with or without quotes") {
    CHECK(parse_if_match("0") == Version{});
    CHECK(parse_if_match("00000005") == Version{5});
    CHECK(parse_if_match("\"00000005\"") == Version{5});
    CHECK_FALSE(parse_if_match("5"));
    CHECK_FALSE(parse_if_match("\""));
    CHECK_FALSE(parse_if_match(""));
}

Route route(std::string name, std::string hostname, std::string prefix) {
    Route made;
    made.name = std::move(name);
    made.hostname = std::move(hostname);
    made.path_prefix = std::move(prefix);
    return made;
}

RouteTable example_table() {
    auto configuration = std::make_shared<Configuration>();
    configuration->routes = {route("root", "a.example", "/"), route("one", "a.example", "/one/"),
                             route("deep", "a.example", "/one/two/three/"),
                             route("other", "B.example", "/one/")};
    Tenant first;
    first.name = "first";
    first.api_keys = {"key-1", "key-2"};
    first.priority = 0;
    Tenant second;
    second.name = "second";
    second.api_keys = {"key-3"};
    configuration->tenants = {first, second};
    return RouteTable(std::move(configuration));
}

std::string route_name(std::string_view host, std::string_view path) {
    static const RouteTable table = example_table();
    const Route* route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

TEST_CASE("the longest matching path prefix is chosen") {
    CHECK(route_name("a.example", "/") == "root");
    CHECK(route_name("a.example", "/one") == "root");
    CHECK(route_name("a.example", "/one/") == "one");
    CHECK(route_name("a.example", "/one/two/x") == "one");
    CHECK(route_name("a.example", "/one/two/three/4/5") == "deep");
    CHECK(route_name("a.example", "/ONE/x") == "root");
    CHECK(route_name("b.example", "/one/x") == "other");
    CHECK(route_name("b.example", "/two/") == "none");
    CHECK(route_name("b.example", "/") == "none");
    CHECK(route_name("b.example", "") == "none");
}

TEST_CASE("a query does not affect the choice of the route") {
    CHECK(route_name("a.example", "/one?x=/") == "root");
    CHECK(route_name("a.example", "/one/?/two/three/") == "one");
}

TEST_CASE("the whole host is compared case-insensitively, without its port") {
    CHECK(route_name("A.Example", "/") == "root");
    CHECK(route_name("a.example:8080", "/one/x") == "one");
    CHECK(route_name("aa.example", "/") == "none");
    CHECK(route_name("a.exampl", "/") == "none");
    CHECK(route_name("", "/") == "none");
    CHECK(without_port("[::1]:80") == "[::1]");
}

TEST_CASE("the home regions of a host are the intersection over its routes that have any") {
    Configuration configuration;
    const auto add = [&](const std::string& host, const std::string& prefix, std::vector<RegionName> homes) {
        Route& route = configuration.routes.emplace_back();
        route.hostname = host;
        route.path_prefix = prefix;
        route.home_regions = std::move(homes);
    };
    add("a.example", "/", {});
    add("a.example", "/one/", {"west", "east"});
    add("A.example", "/two/", {"east", "south", "west"});
    add("b.example", "/", {});
    add("c.example", "/", {"east"});
    add("c.example", "/one/", {"west"});
    const RouteTable table(std::make_shared<const Configuration>(configuration));
    CHECK(table.home_regions("a.example:80") == HomeRegions(std::vector<RegionName>{"east", "west"}));
    CHECK(table.home_regions("b.example") == HomeRegions());
    CHECK(table.home_regions("unknown.example") == HomeRegions());
    CHECK(table.home_regions("c.example") == HomeRegions(std::vector<RegionName>()));
    CHECK(allows(table.home_regions("a.example"), "west"));
    CHECK_FALSE(allows(table.home_regions("a.example"), "south"));
    CHECK_FALSE(allows(table.home_regions("c.example"), "east"));
    CHECK(allows(table.home_regions("b.example"), "anywhere"));
}

TEST_CASE("a tenant is found by each of its API keys") {
    const RouteTable table = example_table();
    REQUIRE(table.find_tenant("key-2") != nullptr);
    CHECK(table.find_tenant("key-1")->name == "first");
    CHECK(table.find_tenant("key-2")->name == "first");
    CHECK(table.find_tenant("key-3")->name == "second");
    CHECK(table.find_tenant("key-4") == nullptr);
    CHECK(table.find_tenant("") == nullptr);
}

TEST_CASE("a tenant's priority overrides the route's") {
    const RouteTable table = example_table();
    Route low = table.configuration().routes.front();
    low.priority = 3;
    CHECK(effective_priority(low, nullptr) == 3);
    CHECK(effective_priority(low, table.find_tenant("key-1")) == 0);
    CHECK(effective_priority(low, table.find_tenant("key-3")) == 3);
}

}  // namespace
}  // namespace dewweir::configuration
