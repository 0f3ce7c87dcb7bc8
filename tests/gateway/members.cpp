// The gateways that clients are directed to, and the table of upstream endpoints.
#include <catch2/catch.hpp>

#include "gateway/directory.h"
#include "gateway/endpoints.h"

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

using Addresses = std::vector<std::string>;

void add(std::map<std::string, wire::Member>& members, const std::string& node, const std::string& zone,
         const std::string& region) {
    wire::Member& member = members[node];
    member.node = node;
    member.zone = zone;
    member.region = region;
    member.front = node + ":80";
    member.ready = true;
}

std::map<std::string, wire::Member> some_gateways() {
    std::map<std::string, wire::Member> members;
    add(members, "a1", "zone-a", "east");
    add(members, "b1", "zone-b", "east");
    add(members, "c1", "zone-c", "west");
    return members;
}

// Routes of the host "shop" with these homes, and a tenant for each list of homes.
configuration::RouteTable table_with(std::vector<std::string> route_homes,
                                     const std::vector<std::vector<std::string>>& tenant_homes = {}) {
    auto configuration = std::make_shared<configuration::Configuration>();
    configuration::Route& route = configuration->routes.emplace_back();
    route.hostname = "shop";
    route.path_prefix = "/";
    route.home_regions = std::move(route_homes);
    for (const auto& homes : tenant_homes) configuration->tenants.emplace_back().home_regions = homes;
    return configuration::RouteTable(configuration);
}

// The addresses given by a gateway that accepts no clients itself.
Addresses addresses_for(const std::map<std::string, wire::Member>& members, const std::string& region,
                        const std::string& zone, const configuration::RouteTable& table = table_with({})) {
    return resolve(members, wire::Member{}, {"shop", region, zone}, &table).addresses;
}

wire::Instance instance(const std::string& id, const std::string& zone, std::uint32_t cold_left_ms = 0) {
    return {id, "cart", "10.0.0.1:80", zone, 4, wire::InstanceState::ready, cold_left_ms};
}

EndpointTable some_table() {
    return EndpointTable({"a", "east", {{"a", "east"}, {"b", "east"}, {"c", "west"}}});
}

const Endpoint& endpoint_of(const EndpointTable& table, const std::string& id) {
    for (const auto& [number, endpoint] : table.all()) {
        if (endpoint.instance.id == id) return endpoint;
    }
    FAIL("no endpoint of " << id);
    throw std::logic_error(id);
}

void set_instances(distribution::View& view, std::uint64_t number, std::vector<wire::Instance> instances) {
    view.apply(wire::InstancesUpdate{{1, number}, true, std::move(instances), {}});
}

}  // namespace

TEST_CASE("a client is directed to gateways of its zone, else of its region, else of all regions") {
    auto members = some_gateways();
    CHECK(addresses_for(members, "east", "zone-a") == Addresses{"a1:80"});
    CHECK(addresses_for(members, "east", "zone-x") == Addresses{"a1:80", "b1:80"});
    CHECK(addresses_for(members, "north", "zone-x") == Addresses{"a1:80", "b1:80", "c1:80"});
    members["a1"].ready = false;
    CHECK(addresses_for(members, "east", "zone-a") == Addresses{"b1:80"});
    members["b1"].front.clear();
    members["c1"].role = wire::Role::control_plane;
    CHECK(addresses_for(members, "east", "zone-a").empty());
}

TEST_CASE("a client whose routes have home regions is directed only to its own region and to those") {
    auto members = some_gateways();
    add(members, "d1", "zone-d", "south");
    const auto far = table_with({"south", "west"});
    CHECK(addresses_for(members, "east", "zone-a", far) == Addresses{"a1:80"});
    members["a1"].ready = false;
    members["b1"].ready = false;
    CHECK(addresses_for(members, "east", "zone-a") == Addresses{"c1:80", "d1:80"});
    CHECK(addresses_for(members, "east", "zone-a", far) == Addresses{"c1:80", "d1:80"});
    CHECK(addresses_for(members, "east", "zone-a", table_with({"east", "south"})) == Addresses{"d1:80"});
    CHECK(addresses_for(members, "east", "zone-a", table_with({"east"})).empty());
    CHECK(addresses_for(members, "west", "zone-x", table_with({"east"})) == Addresses{"c1:80"});
}

TEST_CASE("of other regions those that are home to the most tenants are chosen") {
    auto members = some_gateways();
    add(members, "d1", "zone-d", "south");
    members["a1"].ready = false;
    members["b1"].ready = false;
    const auto both = Addresses{"c1:80", "d1:80"};
    CHECK(addresses_for(members, "east", "zone-a", table_with({}, {{"south"}})) == Addresses{"d1:80"});
    CHECK(addresses_for(members, "east", "zone-a", table_with({}, {{"south"}, {"west"}})) == both);
    CHECK(addresses_for(members, "east", "zone-a", table_with({}, {{"south"}, {"west"}, {"west", "east"}})) ==
          Addresses{"c1:80"});
    CHECK(addresses_for(members, "east", "zone-a", table_with({"south"}, {{"west"}})) == Addresses{"d1:80"});
    CHECK(addresses_for(members, "east", "zone-a", table_with({}, {{"east"}, {}})) == both);
}

TEST_CASE("a gateway without a configuration directs no client to another region") {
    auto members = some_gateways();
    const wire::Member nobody;
    CHECK(resolve(members, nobody, {"shop", "east", "zone-a"}, nullptr).addresses == Addresses{"a1:80"});
    CHECK(resolve(members, nobody, {"shop", "north", "zone-x"}, nullptr).addresses.empty());
}

TEST_CASE("the resolution states the proximity of the gateways") {
    auto members = some_gateways();
    const wire::Member nobody;
    const auto table = table_with({});
    CHECK(resolve(members, nobody, {"shop", "east", "zone-a"}, &table).proximity == Proximity::zone);
    CHECK(resolve(members, nobody, {"shop", "east", "zone-x"}, &table).proximity == Proximity::region);
    CHECK(resolve(members, nobody, {"shop", "north", "zone-x"}, &table).proximity == Proximity::elsewhere);
    CHECK(resolve({}, nobody, {"shop", "east", "zone-a"}, &table).proximity == Proximity::elsewhere);
}

TEST_CASE("the answering gateway's own state takes precedence over its entry in the members") {
    auto members = some_gateways();
    const auto table = table_with({});
    wire::Member self = members["a1"];
    members.erase("a1");
    members.erase("b1");
    CHECK(resolve(members, self, {"shop", "east", "zone-a"}, &table).addresses == Addresses{"a1:80"});
    members["a1"] = self;
    self.ready = false;
    CHECK(resolve(members, self, {"shop", "east", "zone-a"}, &table).addresses == Addresses{"c1:80"});
}

TEST_CASE("the number of addresses is limited") {
    std::map<std::string, wire::Member> members;
    for (int n = 0; n < 100; ++n) add(members, "g" + std::to_string(n), "zone-a", "east");
    CHECK(addresses_for(members, "east", "zone-a").size() == max_addresses);
}

TEST_CASE("endpoints have a distance and a region") {
    EndpointTable table = some_table();
    distribution::View view;
    set_instances(view, 1,
                  {instance("1", "a"), instance("2", "b"), instance("3", "c"), instance("4", "unknown")});
    const EndpointChanges first = table.update(view, 0);
    CHECK(first.removed.empty());
    CHECK(first.restricted.empty());
    CHECK(endpoint_of(table, "1").distance == Distance::same_zone);
    CHECK(endpoint_of(table, "2").distance == Distance::same_region);
    CHECK(endpoint_of(table, "3").distance == Distance::other_region);
    CHECK(endpoint_of(table, "3").region == "west");
    CHECK(endpoint_of(table, "4").distance == Distance::other_region);
    CHECK(endpoint_of(table, "4").region.empty());
}

TEST_CASE("endpoint ids stay with their instances and are never reused") {
    EndpointTable table = some_table();
    distribution::View view;
    set_instances(view, 1, {instance("1", "a"), instance("2", "a")});
    table.update(view, 0);
    const EndpointId first = endpoint_of(table, "1").id;
    const EndpointId second = endpoint_of(table, "2").id;
    set_instances(view, 2, {instance("2", "a"), instance("3", "a")});
    CHECK(table.update(view, 1).removed == std::vector<EndpointId>{first});
    CHECK(table.find(first) == nullptr);
    CHECK(table.find(second)->instance.id == "2");
    set_instances(view, 3, {instance("1", "a"), instance("2", "a"), instance("3", "a")});
    CHECK(table.update(view, 2).removed.empty());
    CHECK(endpoint_of(table, "2").id == second);
    CHECK(endpoint_of(table, "1").id > endpoint_of(table, "3").id);
    CHECK(table.all().size() == 3);
}

TEST_CASE("draining endpoints and those of evacuated zones are not usable until that ends") {
    EndpointTable table = some_table();
    distribution::View view;
    wire::Instance draining = instance("1", "a");
    draining.state = wire::InstanceState::draining;
    set_instances(view, 1, {draining, instance("2", "b"), instance("3", "c")});
    view.apply(wire::EvacuationsUpdate{1, {"b"}});
    table.update(view, 0);
    CHECK_FALSE(endpoint_of(table, "1").usable);
    CHECK_FALSE(endpoint_of(table, "2").usable);
    CHECK(endpoint_of(table, "3").usable);
    view.apply(wire::EvacuationsUpdate{2, {}});
    table.update(view, 0);
    CHECK(endpoint_of(table, "2").usable);
    CHECK_FALSE(endpoint_of(table, "1").usable);
}

TEST_CASE("endpoints that become restricted are reported once") {
    EndpointTable table = some_table();
    distribution::View view;
    set_instances(view, 1, {instance("1", "a"), instance("2", "b"), instance("3", "c")});
    table.update(view, 0);
    const std::vector<EndpointId> all = {endpoint_of(table, "1").id, endpoint_of(table, "2").id,
                                         endpoint_of(table, "3").id};
    wire::Instance draining = instance("1", "a");
    draining.state = wire::InstanceState::draining;
    set_instances(view, 2, {draining, instance("2", "b"), instance("3", "c", 500)});
    view.apply(wire::EvacuationsUpdate{1, {"b"}});
    CHECK(table.update(view, 1).restricted == all);
    CHECK(table.update(view, 2).restricted.empty());
    set_instances(view, 3, {instance("1", "a"), instance("2", "b"), instance("3", "c")});
    view.apply(wire::EvacuationsUpdate{2, {}});
    CHECK(table.update(view, 3).restricted.empty());
}

TEST_CASE("the cold time of an endpoint starts when it is first reported") {
    EndpointTable table = some_table();
    distribution::View view;
    set_instances(view, 1, {instance("1", "a", 500)});
    table.update(view, 1000);
    const runtime::Time until = 1000 + 500 * runtime::tenths_per_millisecond;
    CHECK(endpoint_of(table, "1").cold_until == until);
    table.update(view, 3000);
    CHECK(endpoint_of(table, "1").cold_until == until);
    set_instances(view, 2, {instance("1", "a", 0)});
    table.update(view, 4000);
    CHECK(endpoint_of(table, "1").cold_until == 4000);
}
