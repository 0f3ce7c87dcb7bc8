// Counts roll with their windows; which member holds a tenant's changes only where it must.
#include "gateway/counters.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

constexpr runtime::Time window = runtime::tenths_per_second;
constexpr std::uint32_t current = 0, before = 1;

std::map<std::string, wire::Member> gateways(int count) {
    std::map<std::string, wire::Member> members;
    for (int n = 0; n < count; ++n) members["gateway-" + std::to_string(n)].role = wire::Role::gateway;
    members["control-1"].role = wire::Role::control_plane;
    return members;
}

}  // namespace

TEST_CASE("units add up in a window and begin anew in the next") {
    HeldCounts counts;
    CHECK(counts.add(window * 5, 1, window, current, 2) == 2);
    CHECK(counts.add(window * 6 - 1, 1, window, current, 1.5) == 3.5);
    CHECK(counts.add(window * 6, 1, window, current, 1) == 1);
    CHECK(counts.add(window * 6, 1, window, current, 0) == 1);
}

TEST_CASE("late units go to the window before, older ones nowhere") {
    HeldCounts counts;
    counts.add(window * 5, 1, window, current, 2);
    CHECK(counts.add(window * 6, 1, window, before, 3) == 5);
    CHECK(counts.add(window * 6, 1, window, current, 1) == 1);
    CHECK(counts.add(window * 6, 1, window, 2, 7) == 0);
    CHECK(counts.add(window * 6, 1, window, ~0u, 7) == 0);
    CHECK(counts.add(window * 6, 1, window, before, 0) == 5);
    CHECK(counts.add(window * 7, 1, window, before, 0) == 1);
    CHECK(counts.add(window * 9, 1, window, before, 0) == 0);  // a window without counts lies between
}

TEST_CASE("tenants and lengths of windows are counted apart, and no window is none") {
    HeldCounts counts;
    counts.add(window, 1, window, current, 1);
    CHECK(counts.add(window, 2, window, current, 4) == 4);
    CHECK(counts.add(window, 1, 2 * window, current, 8) == 8);
    CHECK(counts.add(window, 1, window, current, 0) == 1);
    CHECK(counts.add(window, 1, 0, current, 1) == 0);
    CHECK(counts.add(window, 1, -window, current, 1) == 0);
    CHECK(counts.size() == 3);
}

TEST_CASE("idle tenants are forgotten and busy ones kept") {
    HeldCounts counts;
    counts.add(0, 1, window, current, 1);
    counts.add(0, 1, 100 * window, current, 1);
    counts.add(9 * window, 2, window, current, 1);
    counts.forget_idle(8 * window);
    CHECK(counts.size() == 3);
    counts.forget_idle(9 * window);
    CHECK(counts.size() == 2);
    CHECK(counts.add(9 * window, 2, window, current, 1) == 2);
}

TEST_CASE("without gateways nobody holds anything") {
    Placement placement;
    CHECK(placement.holder_of(1).empty());
    placement.update(gateways(0));
    CHECK(placement.holder_of(1).empty());
}

TEST_CASE("tenants spread evenly over the gateways, and a lost one's alone move") {
    constexpr int holders = 8, tenants = 8000;
    Placement all;
    all.update(gateways(holders));
    std::map<std::string, wire::Member> rest = gateways(holders);
    const std::string lost = "gateway-3";
    rest.erase(lost);
    Placement fewer;
    fewer.update(rest);
    std::map<std::string, int> held;
    std::map<std::string, int> inherited;
    for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
        const std::string holder = all.holder_of(tenant);
        ++held[holder];
        if (holder == lost) ++inherited[fewer.holder_of(tenant)];
        else CHECK(fewer.holder_of(tenant) == holder);
    }
    CHECK(held.size() == holders);
    for (const auto& [holder, count] : held)
        CHECK(std::abs(count - tenants / holders) < 150);  // 5 deviations
    CHECK(inherited.size() == holders - 1);
    CHECK_FALSE(inherited.contains(lost));
}
