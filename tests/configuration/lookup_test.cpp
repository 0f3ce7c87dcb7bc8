// Versions as texts, and finding routes and tenants.
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

TEST_CASE("If-Match holds a version or 0, in quotes or bare") {
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

std::string found(std::string_view host, std::string_view path) {
    static const RouteTable table = example_table();
    const Route* route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

TEST_CASE("the longest prefix that begins the path wins") {
    CHECK(found("a.example", "/") == "root");
    CHECK(found("a.example", "/one") == "root");
    CHECK(found("a.example", "/one/") == "one");
    CHECK(found("a.example", "/one/two/x") == "one");
    CHECK(found("a.example", "/one/two/three/4/5") == "deep");
    CHECK(found("a.example", "/ONE/x") == "root");
    CHECK(found("b.example", "/one/x") == "other");
    CHECK(found("b.example", "/two/") == "none");
    CHECK(found("b.example", "/") == "none");
    CHECK(found("b.example", "") == "none");
}

TEST_CASE("a query takes no part in the choice") {
    CHECK(found("a.example", "/one?x=/") == "root");
    CHECK(found("a.example", "/one/?/two/three/") == "one");
}

TEST_CASE("the host is matched whole, in any case, without its port") {
    CHECK(found("A.Example", "/") == "root");
    CHECK(found("a.example:8080", "/one/x") == "one");
    CHECK(found("aa.example", "/") == "none");
    CHECK(found("a.exampl", "/") == "none");
    CHECK(found("", "/") == "none");
    CHECK(without_port("[::1]:80") == "[::1]");
}

TEST_CASE("a host's homes are those that all its routes with homes have in common") {
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
    CHECK(table.homes("a.example:80") == HomeRegions(std::vector<RegionName>{"east", "west"}));
    CHECK(table.homes("b.example") == HomeRegions());
    CHECK(table.homes("unknown.example") == HomeRegions());
    CHECK(table.homes("c.example") == HomeRegions(std::vector<RegionName>()));
    CHECK(allows(table.homes("a.example"), "west"));
    CHECK_FALSE(allows(table.homes("a.example"), "south"));
    CHECK_FALSE(allows(table.homes("c.example"), "east"));
    CHECK(allows(table.homes("b.example"), "anywhere"));
}

TEST_CASE("a tenant is found by each of its keys") {
    const RouteTable table = example_table();
    REQUIRE(table.find_tenant("key-2") != nullptr);
    CHECK(table.find_tenant("key-1")->name == "first");
    CHECK(table.find_tenant("key-2")->name == "first");
    CHECK(table.find_tenant("key-3")->name == "second");
    CHECK(table.find_tenant("key-4") == nullptr);
    CHECK(table.find_tenant("") == nullptr);
}

TEST_CASE("a tenant's priority takes the place of the route's") {
    const RouteTable table = example_table();
    Route low = table.configuration().routes.front();
    low.priority = 3;
    CHECK(effective_priority(low, nullptr) == 3);
    CHECK(effective_priority(low, table.find_tenant("key-1")) == 0);
    CHECK(effective_priority(low, table.find_tenant("key-3")) == 3);
}

}  // namespace
}  // namespace dewweir::configuration
