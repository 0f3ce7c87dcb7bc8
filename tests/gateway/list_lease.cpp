// The lease on the list of hosts: when requests may be sent by it.
#include "gateway/list_lease.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using dewweir::gateway::ListLease;

namespace {

constexpr runtime::Time ms = runtime::tenths_per_millisecond;
constexpr runtime::Time interval = 400 * ms;
constexpr ListLease::Limits limits{3000 * ms, 1200 * ms, 6000 * ms};
constexpr runtime::Time suspicion_delay = 2 * interval;
constexpr runtime::Time sent_at = 12345 * ms;

ListLease lease_after(runtime::Time round_trip, runtime::Time list_age) {
    ListLease lease(limits);
    lease.echo_received(sent_at, list_age, sent_at + round_trip);
    return lease;
}

// Whether the lease holds until the next echo, if that arrives on time.
bool holds_until_next_echo(runtime::Time round_trip, runtime::Time list_age) {
    return lease_after(round_trip, list_age).holds(sent_at + round_trip + interval);
}

// Whether the lease holds, long after its end, once this much time has passed without an echo.
bool holds_without_echo(runtime::Time without_echo, bool link_responsive) {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    for (runtime::Time passed = 0; passed < without_echo; passed += interval)
        lease.interval_passed(link_responsive);
    return lease.holds(sent_at + 100 * limits.contact);
}

}  // namespace

TEST_CASE("the lease does not hold before the age of the list is known") {
    CHECK_FALSE(ListLease(limits).holds(sent_at));
    CHECK_FALSE(ListLease(limits).list_age(sent_at));
}

TEST_CASE("on an uncongested link the lease holds with the normal age of the list") {
    CHECK(holds_until_next_echo(120 * ms, 800 * ms));
    CHECK(holds_until_next_echo(300 * ms, 1500 * ms));
}

TEST_CASE("the delays of an update and of a request together never exceed the drain bound") {
    for (runtime::Time round_trip = 0; round_trip <= 6000 * ms; round_trip += 50 * ms) {
        for (runtime::Time list_age = 0; list_age <= 4000 * ms; list_age += 50 * ms) {
            INFO(round_trip / ms << " ms round trip, list " << list_age / ms << " ms old");
            const ListLease lease = lease_after(round_trip, list_age);
            const runtime::Time back = sent_at + round_trip;
            for (runtime::Time later = 0; later <= 4000 * ms; later += 100 * ms) {
                // Independent of how the round trip splits into the two transits.
                const runtime::Time arrival = list_age + round_trip + later;
                if (arrival > limits.drain) CHECK_FALSE(lease.holds(back + later));
                if (arrival < limits.drain - 200 * ms) CHECK(lease.holds(back + later));
            }
        }
    }
}

TEST_CASE("a lease expires by itself when the next echo is late") {
    const ListLease lease = lease_after(120 * ms, 800 * ms);
    CHECK(lease.holds(lease.valid_until()));
    CHECK_FALSE(lease.holds(lease.valid_until() + 1));
    CHECK(lease.valid_until() <= sent_at + limits.drain);
}

TEST_CASE("the lease of a paused process has expired, however long the pause was") {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    lease.interval_passed(false);
    CHECK_FALSE(lease.holds(sent_at + 10 * limits.contact));
}

TEST_CASE("without control planes the last list stays in use, sooner if the link is known to be responsive") {
    CHECK_FALSE(holds_without_echo(suspicion_delay + limits.search - interval, true));
    CHECK(holds_without_echo(suspicion_delay + limits.search, true));
    CHECK_FALSE(holds_without_echo(limits.contact - interval, false));
    CHECK(holds_without_echo(limits.contact, false));
}

TEST_CASE("a control plane that does not echo is suspected, unless the link may be the cause") {
    for (const bool link_responsive : {false, true}) {
        ListLease lease = lease_after(120 * ms, 800 * ms);
        CHECK(lease.echo_overdue_since() == sent_at + 240 * ms + interval);
        lease.interval_passed(link_responsive);
        CHECK_FALSE(lease.suspected());
        lease.interval_passed(link_responsive);
        CHECK(lease.suspected() == link_responsive);
        lease.control_plane_switched();
        CHECK_FALSE(lease.suspected());
        lease.interval_passed(link_responsive);
        CHECK_FALSE(lease.suspected());
        lease.interval_passed(link_responsive);
        CHECK(lease.suspected() == link_responsive);
        lease.echo_received(sent_at + interval, 0, sent_at + 2 * interval);
        CHECK_FALSE(lease.suspected());
    }
}

TEST_CASE("the first echo after a loss of the control planes limits the lease again") {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    for (int n = 0; n < 20; ++n) lease.interval_passed(true);
    const runtime::Time later = sent_at + 20 * interval;
    CHECK(lease.holds(later));
    lease.echo_received(sent_at + interval, 800 * ms, later);
    CHECK_FALSE(lease.holds(later));
}

TEST_CASE("the lease is renewed by the first echo after a congested link has recovered") {
    ListLease lease = lease_after(2500 * ms, 800 * ms);
    CHECK_FALSE(lease.holds(sent_at + 2500 * ms));
    lease.echo_received(sent_at + 400 * ms, 800 * ms, sent_at + 2700 * ms);
    CHECK_FALSE(lease.holds(sent_at + 2700 * ms));
    lease.echo_received(sent_at + 2400 * ms, 800 * ms, sent_at + 2800 * ms);
    CHECK(lease.holds(sent_at + 2800 * ms));
    CHECK(lease.list_age(sent_at + 2800 * ms) == 1200 * ms);
}

TEST_CASE("a list that is late while a control plane in sync is heard from is not taken for the last one") {
    const bool link_responsive = GENERATE(true, false);
    ListLease lease = lease_after(120 * ms, 800 * ms);
    runtime::Time now = sent_at;
    for (int n = 0; n < 50; ++n) {
        now += interval;
        lease.control_plane_heard();
        lease.interval_passed(link_responsive);
    }
    CHECK_FALSE(lease.holds(now));
    const auto intervals = static_cast<int>(limits.contact / interval);
    for (int n = 0; n < intervals; ++n) lease.interval_passed(link_responsive);
    CHECK(lease.holds(now));
}
