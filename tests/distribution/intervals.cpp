// The intervals add up to less than the rule's bound on a change.
#include "distribution/intervals.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::distribution;
using std::chrono::milliseconds;

TEST_CASE("a gateway has a change within the rule's bound, however many control planes may be silent") {
    for (const milliseconds config_apply : {milliseconds(2500), milliseconds(3000), milliseconds(6000)}) {
        for (const unsigned silent : {0u, 1u, 2u, 3u, 4u}) {
            CAPTURE(config_apply.count(), silent);
            const SearchIntervals intervals = search_intervals(config_apply, silent);
            CHECK(intervals.worst_case <= runtime::tenths(config_apply));
        }
    }
}

TEST_CASE("a control plane in order is not left for one heartbeat that is late") {
    // It proves that it is in step at least every 0.6 s and tells it with each heartbeat.
    const runtime::Time usual_age = 600 * runtime::tenths_per_millisecond + heartbeat_interval;
    CHECK(search_intervals(milliseconds(2500), 2).freshness_limit > usual_age);
    CHECK(search_intervals(milliseconds(500), 2).freshness_limit >= usual_age);
}
