// Ownership of a cold host's budget, and the bound on what its owners send in any one second.
#include "gateway/cold_budget.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

const ColdBound cold_bound{1.5, 5};
constexpr double cold_rates[] = {4.1, 13};

wire::Member gateway_in(const std::string& node, const std::string& zone, const std::string& region) {
    wire::Member member;
    member.node = node;
    member.role = wire::Role::gateway;
    member.zone = zone;
    member.region = region;
    member.ready = true;
    return member;
}

std::map<std::string, wire::Member> members_of(const std::vector<wire::Member>& list) {
    std::map<std::string, wire::Member> members;
    for (const wire::Member& member : list) members[member.node] = member;
    return members;
}

Endpoint cold_host(const std::string& id = "host-1") {
    Endpoint endpoint;
    endpoint.id = 1;
    endpoint.instance.id = id;
    endpoint.instance.zone = "east-a";
    endpoint.region = "east";
    return endpoint;
}

const wire::Member same_zone = gateway_in("g-zone", "east-a", "east");
const wire::Member same_region = gateway_in("g-region", "east-b", "east");
const wire::Member far = gateway_in("g-far", "west-a", "west");

bool owns(const std::string& self, const std::map<std::string, wire::Member>& members,
          const Endpoint& endpoint) {
    ColdBudget budget(self, cold_bound);
    budget.members_changed(members);
    return budget.owns(endpoint);
}

// Sends whatever the budgets allow, tried every millisecond, and returns the most requests in any one second.
std::size_t most_in_a_second(std::vector<ColdBudget>& budgets, double cold_per_s) {
    const Endpoint endpoint = cold_host();
    std::deque<runtime::Time> sent;
    std::size_t most = 0;
    for (runtime::Time now = 0; now < 30 * runtime::tenths_per_second;
         now += runtime::tenths_per_millisecond) {
        // No requests at first, so that the buckets have filled when they start.
        const bool requests_arrive = now > 10 * runtime::tenths_per_second;
        for (ColdBudget& budget : budgets) {
            (void)budget.next_allowed_at(endpoint, cold_per_s, now);
            while (requests_arrive && budget.try_spend(endpoint, cold_per_s, now)) sent.push_back(now);
        }
        while (!sent.empty() && sent.front() <= now - runtime::tenths_per_second) sent.pop_front();
        most = std::max(most, sent.size());
    }
    return most;
}

}  // namespace

TEST_CASE("the nearest ready gateway owns a cold host") {
    const Endpoint endpoint = cold_host();
    const auto all = members_of({same_zone, same_region, far});
    CHECK(owns("g-zone", all, endpoint));
    CHECK_FALSE(owns("g-region", all, endpoint));
    CHECK_FALSE(owns("g-far", all, endpoint));
    CHECK(owns("g-region", members_of({same_region, far}), endpoint));
    CHECK(owns("g-far", members_of({far}), endpoint));
    CHECK_FALSE(owns("g-zone", {}, endpoint));

    wire::Member draining = same_zone;
    draining.ready = false;
    CHECK(owns("g-region", members_of({draining, same_region, far}), endpoint));
}

TEST_CASE("of equally near gateways exactly one owns each host, and each gateway owns some hosts") {
    const auto members = members_of({gateway_in("g-1", "east-a", "east"), gateway_in("g-2", "east-a", "east"),
                                     gateway_in("g-3", "east-a", "east")});
    std::map<std::string, int> owned;
    for (int host = 0; host < 60; ++host) {
        int owners = 0;
        for (const auto& [node, member] : members) {
            if (!owns(node, members, cold_host("host-" + std::to_string(host)))) continue;
            ++owners;
            ++owned[node];
        }
        CHECK(owners == 1);
    }
    CHECK(owned.size() == members.size());
}

TEST_CASE("an owner's rate is half the bound less its burst, and never above the service's rate") {
    const ColdRate slow = owner_rate(4.1, cold_bound);
    CHECK(slow.per_s == Approx(4.1));  // the bound would allow 4.325
    CHECK(slow.burst == Approx(1.25));
    CHECK(owner_rate(13, cold_bound).per_s == Approx(11));
    CHECK(owner_rate(0, ColdBound{1, 0}).per_s == 0);
}

TEST_CASE("one owner, and two owners with different views, stay within the bound in any second") {
    for (const double cold_per_s : cold_rates) {
        const double bound = cold_per_s * cold_bound.overshoot + cold_bound.slack;
        std::vector<ColdBudget> one{{"g-zone", cold_bound}};
        one[0].members_changed(members_of({same_zone, far}));
        const std::size_t alone = most_in_a_second(one, cold_per_s);
        CHECK(static_cast<double>(alone) <= bound);
        CHECK(static_cast<double>(alone) >= std::min(cold_per_s, bound / 2 - 2));  // the budget is used

        std::vector<ColdBudget> two{{"g-zone", cold_bound}, {"g-far", cold_bound}};
        two[0].members_changed(members_of({same_zone, far}));
        two[1].members_changed(members_of({far}));
        CHECK(static_cast<double>(most_in_a_second(two, cold_per_s)) <= bound);
    }
}

TEST_CASE("a new owner starts with an empty bucket and states when the first token is available") {
    ColdBudget budget("g-zone", cold_bound);
    budget.members_changed(members_of({same_zone}));
    const Endpoint endpoint = cold_host();
    constexpr runtime::Time start = 5 * runtime::tenths_per_second;
    CHECK_FALSE(budget.try_spend(endpoint, 4.1, start));
    const std::optional<runtime::Time> next = budget.next_allowed_at(endpoint, 4.1, start);
    REQUIRE(next);
    CHECK(*next > start);
    CHECK_FALSE(budget.try_spend(endpoint, 4.1, *next - 2));
    CHECK(budget.try_spend(endpoint, 4.1, *next));

    // The bucket is discarded while another gateway is the owner.
    budget.members_changed(members_of({far}));
    CHECK_FALSE(budget.next_allowed_at(endpoint, 4.1, *next));
    budget.members_changed(members_of({same_zone}));
    CHECK_FALSE(budget.try_spend(endpoint, 4.1, *next + 10 * runtime::tenths_per_second));
}
