// The holder of a tenant's counts changes only when necessary, and not for a short absence.
#include "gateway/placement.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

std::map<std::string, wire::Member> gateways(int count) {
    std::map<std::string, wire::Member> members;
    for (int n = 0; n < count; ++n) {
        wire::Member member;
        member.node = "gateway-" + std::to_string(n);
        member.role = wire::Role::gateway;
        members[member.node] = member;
    }
    members["control-1"].role = wire::Role::control_plane;
    return members;
}

}  // namespace

TEST_CASE("without gateways there is no holder") {
    Placement placement;
    CHECK(placement.holder_of(1) == nullptr);
    placement.update(gateways(0), 0);
    CHECK(placement.holder_of(1) == nullptr);
    CHECK(placement.gateways() == 0);
}

TEST_CASE("tenants spread evenly, and only those of a gateway that is absent for long move") {
    constexpr int holders = 8;
    constexpr int tenants = 8000;
    Placement placement;
    placement.update(gateways(holders), 0);
    std::map<std::uint64_t, std::string> before;
    std::map<std::string, int> held;
    for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
        before[tenant] = placement.holder_of(tenant)->node;
        ++held[before[tenant]];
    }
    CHECK(held.size() == holders);
    for (const auto& [holder, count] : held)
        CHECK(std::abs(count - tenants / holders) < 150);  // 5 standard deviations

    std::map<std::string, wire::Member> rest = gateways(holders);
    const std::string lost = "gateway-3";
    rest.erase(lost);
    placement.update(rest, absence_limit);
    CHECK(placement.gateways() == holders);
    for (std::uint64_t tenant = 0; tenant < tenants; ++tenant)
        CHECK(placement.holder_of(tenant)->node == before[tenant]);

    placement.update(rest, absence_limit + 1);
    CHECK(placement.gateways() == holders - 1);
    std::map<std::string, int> inherited;
    for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
        const std::string holder = placement.holder_of(tenant)->node;
        if (before[tenant] == lost) ++inherited[holder];
        else CHECK(holder == before[tenant]);
    }
    CHECK(inherited.size() == holders - 1);
    CHECK_FALSE(inherited.contains(lost));
}

TEST_CASE("a gateway with a new address is called at that address") {
    Placement placement;
    std::map<std::string, wire::Member> members = gateways(1);
    members.at("gateway-0").internal = "10.0.0.1:7000";
    placement.update(members, 0);
    members.at("gateway-0").internal = "10.0.0.2:7000";
    placement.update(members, 1);
    CHECK(placement.holder_of(7)->internal == "10.0.0.2:7000");
}
