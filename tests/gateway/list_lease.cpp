// How old a list of hosts may be for requests to be sent by it.
#include "gateway/list_lease.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using dewweir::gateway::ListLease;

namespace {

constexpr runtime::Time ms = runtime::tenths_per_millisecond;
constexpr runtime::Time drain = 3000 * ms;
constexpr runtime::Time stamped = 12345 * ms;

bool holds_after(runtime::Time round_trip, runtime::Time list_age) {
    ListLease lease(drain);
    lease.echoed(stamped, list_age, stamped + round_trip);
    return lease.holds();
}

}  // namespace

TEST_CASE("a list is gone by until the first stamp is back") { CHECK(ListLease(drain).holds()); }

TEST_CASE("on a free link a list that is read as usual is young enough") {
    CHECK(holds_after(120 * ms, 800 * ms));
    CHECK(holds_after(300 * ms, 1500 * ms));
}

TEST_CASE("news and request together never take longer than the rule allows") {
    for (runtime::Time round_trip = 0; round_trip <= 6000 * ms; round_trip += 50 * ms) {
        for (runtime::Time list_age = 0; list_age <= 2000 * ms; list_age += 50 * ms) {
            INFO(round_trip / ms << " ms there and back, list " << list_age / ms << " ms old");
            // The oldest decision before the next stamp is back, however the round trip splits into its two
            // ways.
            const runtime::Time arrival = list_age + round_trip + 400 * ms;
            if (arrival > drain) CHECK_FALSE(holds_after(round_trip, list_age));
            if (arrival < drain - 200 * ms) CHECK(holds_after(round_trip, list_age));
        }
    }
}

TEST_CASE("a lease that was lost does not stay so when nothing is heard any more") {
    ListLease lease(drain);
    const runtime::Time now = stamped + 2500 * ms;
    lease.echoed(stamped, 800 * ms, now);
    lease.review(now + drain);
    CHECK_FALSE(lease.holds());
    lease.review(now + drain + ms);
    CHECK(lease.holds());
}

TEST_CASE("a link that is free again is known with the next stamp") {
    ListLease lease(drain);
    lease.echoed(stamped, 800 * ms, stamped + 2500 * ms);
    CHECK_FALSE(lease.holds());
    lease.echoed(stamped + 400 * ms, 800 * ms, stamped + 2600 * ms);
    CHECK_FALSE(lease.holds());
    lease.echoed(stamped + 2400 * ms, 800 * ms, stamped + 2700 * ms);
    CHECK(lease.holds());
}
