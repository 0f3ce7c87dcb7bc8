// The derived timeouts must add up to no more than the configured bound on the propagation of a change
// (config_apply).
#include "distribution/intervals.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::distribution;
using std::chrono::milliseconds;

TEST_CASE(
    "a gateway receives a change within config_apply, however many control planes may be unresponsive") {
    for (const milliseconds config_apply : {milliseconds(2500), milliseconds(3000), milliseconds(6000)}) {
        for (const unsigned unresponsive : {0u, 1u, 2u, 3u, 4u}) {
            CAPTURE(config_apply.count(), unresponsive);
            const SearchIntervals intervals = search_intervals(config_apply, unresponsive);
            CHECK(intervals.max_propagation <= runtime::tenths(config_apply));
        }
    }
}

TEST_CASE("a gateway does not leave a healthy control plane because of one late heartbeat") {
    // A healthy control plane renews its proof at least every 0.6 s and reports it in each heartbeat.
    const runtime::Time usual_age = 600 * runtime::tenths_per_millisecond + heartbeat_interval;
    CHECK(search_intervals(milliseconds(2500), 2).max_staleness > usual_age);
    CHECK(search_intervals(milliseconds(500), 2).max_staleness >= usual_age);
}
