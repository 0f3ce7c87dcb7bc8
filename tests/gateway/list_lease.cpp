// Until when requests may be sent by a list of hosts.
#include "gateway/list_lease.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using dewweir::gateway::ListLease;

namespace {

constexpr runtime::Time ms = runtime::tenths_per_millisecond;
constexpr runtime::Time interval = 400 * ms;
constexpr ListLease::Limits limits{3000 * ms, 1200 * ms, 6000 * ms};
constexpr runtime::Time doubt = 2 * interval;
constexpr runtime::Time stamped = 12345 * ms;

ListLease lease_after(runtime::Time round_trip, runtime::Time list_age) {
    ListLease lease(limits);
    lease.echoed(stamped, list_age, stamped + round_trip);
    return lease;
}

// Until the next stamp is back, where it comes as usual.
bool holds_on(runtime::Time round_trip, runtime::Time list_age) {
    return lease_after(round_trip, list_age).holds(stamped + round_trip + interval);
}

// Whether the lease holds, long past its end, after so much time without a stamp.
bool holds_in_silence(runtime::Time silence, bool link_prompt) {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    for (runtime::Time passed = 0; passed < silence; passed += interval) lease.interval_passed(link_prompt);
    return lease.holds(stamped + 100 * limits.contact);
}

}  // namespace

TEST_CASE("a list whose age isn't known yet is not gone by") {
    CHECK_FALSE(ListLease(limits).holds(stamped));
    CHECK_FALSE(ListLease(limits).list_age(stamped));
}

TEST_CASE("on a free link a list that is read as usual is young enough") {
    CHECK(holds_on(120 * ms, 800 * ms));
    CHECK(holds_on(300 * ms, 1500 * ms));
}

TEST_CASE("news and request together never take longer than the rule allows") {
    for (runtime::Time round_trip = 0; round_trip <= 6000 * ms; round_trip += 50 * ms) {
        for (runtime::Time list_age = 0; list_age <= 4000 * ms; list_age += 50 * ms) {
            INFO(round_trip / ms << " ms there and back, list " << list_age / ms << " ms old");
            const ListLease lease = lease_after(round_trip, list_age);
            const runtime::Time back = stamped + round_trip;
            for (runtime::Time later = 0; later <= 4000 * ms; later += 100 * ms) {
                // However the round trip splits into its two ways.
                const runtime::Time arrival = list_age + round_trip + later;
                if (arrival > limits.drain) CHECK_FALSE(lease.holds(back + later));
                if (arrival < limits.drain - 200 * ms) CHECK(lease.holds(back + later));
            }
        }
    }
}

TEST_CASE("a lease ends by itself where the next stamp is late") {
    const ListLease lease = lease_after(120 * ms, 800 * ms);
    CHECK(lease.holds(lease.valid_until()));
    CHECK_FALSE(lease.holds(lease.valid_until() + 1));
    CHECK(lease.valid_until() <= stamped + limits.drain);
}

TEST_CASE("a process that stood still finds its lease ended, however long it was away") {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    lease.interval_passed(false);
    CHECK_FALSE(lease.holds(stamped + 10 * limits.contact));
}

TEST_CASE("without control planes the last list is gone by, sooner where the link is known to be prompt") {
    CHECK_FALSE(holds_in_silence(doubt + limits.search - interval, true));
    CHECK(holds_in_silence(doubt + limits.search, true));
    CHECK_FALSE(holds_in_silence(limits.contact - interval, false));
    CHECK(holds_in_silence(limits.contact, false));
}

TEST_CASE("a control plane that sends no stamps back is in doubt, unless it may be the link") {
    for (const bool link_prompt : {false, true}) {
        ListLease lease = lease_after(120 * ms, 800 * ms);
        CHECK(lease.overdue_from() == stamped + 240 * ms + interval);
        lease.interval_passed(link_prompt);
        CHECK_FALSE(lease.in_doubt());
        lease.interval_passed(link_prompt);
        CHECK(lease.in_doubt() == link_prompt);
        lease.asked_another();
        CHECK_FALSE(lease.in_doubt());
        lease.interval_passed(link_prompt);
        CHECK_FALSE(lease.in_doubt());
        lease.interval_passed(link_prompt);
        CHECK(lease.in_doubt() == link_prompt);
        lease.echoed(stamped + interval, 0, stamped + 2 * interval);
        CHECK_FALSE(lease.in_doubt());
    }
}

TEST_CASE("the first stamp that is back ends that") {
    ListLease lease = lease_after(120 * ms, 800 * ms);
    for (int n = 0; n < 20; ++n) lease.interval_passed(true);
    const runtime::Time later = stamped + 20 * interval;
    CHECK(lease.holds(later));
    lease.echoed(stamped + interval, 800 * ms, later);
    CHECK_FALSE(lease.holds(later));
}

TEST_CASE("a link that is free again is known with the next stamp") {
    ListLease lease = lease_after(2500 * ms, 800 * ms);
    CHECK_FALSE(lease.holds(stamped + 2500 * ms));
    lease.echoed(stamped + 400 * ms, 800 * ms, stamped + 2700 * ms);
    CHECK_FALSE(lease.holds(stamped + 2700 * ms));
    lease.echoed(stamped + 2400 * ms, 800 * ms, stamped + 2800 * ms);
    CHECK(lease.holds(stamped + 2800 * ms));
    CHECK(lease.list_age(stamped + 2800 * ms) == 1200 * ms);
}
