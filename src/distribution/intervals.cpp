#include "distribution/intervals.h"

#include <algorithm>

namespace dewweir::distribution {
namespace {

constexpr runtime::Time attempt_gap = 200 * runtime::tenths_per_millisecond;
// The widest round trip between a gateway and a control plane, with time for the work at both ends. An
// attempt takes three: connection, question, view.
constexpr runtime::Time round_trip = 150 * runtime::tenths_per_millisecond;
constexpr int round_trips_per_attempt = 3;
// For a timer that is late and a statement that was on its way.
constexpr runtime::Time margin = 200 * runtime::tenths_per_millisecond;
// A control plane in order proves that it is in step every 0.3 to 0.6 s and tells it with each heartbeat; one
// lost datagram more must not send its gateways away.
constexpr runtime::Time least_limit = 1000 * runtime::tenths_per_millisecond;
// Where the rule leaves more time, half of it: a long configuration holds up the heartbeats behind it in the
// same stream, and a gateway that leaves for that gets all of it again elsewhere.
constexpr runtime::Time usual_limit = 1500 * runtime::tenths_per_millisecond;

}  // namespace

SearchIntervals search_intervals(std::chrono::milliseconds config_apply, unsigned silent) {
    const runtime::Time search =
        static_cast<runtime::Time>(silent) * attempt_gap + round_trips_per_attempt * round_trip + margin;
    SearchIntervals intervals;
    intervals.attempt_gap = attempt_gap;
    intervals.attempt_limit = connect_limit;
    const runtime::Time largest_limit = std::max(usual_limit, runtime::tenths(config_apply) / 2);
    intervals.freshness_limit =
        std::clamp(runtime::tenths(config_apply) - search, least_limit, largest_limit);
    intervals.worst_case = intervals.freshness_limit + search;
    return intervals;
}

}  // namespace dewweir::distribution
