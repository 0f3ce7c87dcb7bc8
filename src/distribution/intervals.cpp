#include "distribution/intervals.h"

#include <algorithm>

namespace dewweir::distribution {
namespace {

constexpr runtime::Time attempt_interval = 200 * runtime::tenths_per_millisecond;
// Upper bound of the round trip between a gateway and a control plane, processing at both ends included. An
// attempt takes three round trips: TCP connect, probe, transfer of the view.
constexpr runtime::Time round_trip = 150 * runtime::tenths_per_millisecond;
constexpr int round_trips_per_attempt = 3;
// Covers a late timer and a heartbeat that was already under way.
constexpr runtime::Time margin = 200 * runtime::tenths_per_millisecond;
// A healthy control plane renews its proof of being in sync every 0.3 to 0.6 s and reports it in each
// heartbeat; losing one more datagram must not make its gateways leave.
constexpr runtime::Time min_max_staleness = 1000 * runtime::tenths_per_millisecond;
// The limit used when `config_apply` permits; beyond that, half of `config_apply`. A large configuration
// delays the heartbeats behind it in the same stream, and a gateway that leaves for that reason has to
// receive all of it again elsewhere.
constexpr runtime::Time preferred_max_staleness = 1500 * runtime::tenths_per_millisecond;

}  // namespace

SearchIntervals search_intervals(std::chrono::milliseconds config_apply, unsigned unresponsive) {
    const runtime::Time search = static_cast<runtime::Time>(unresponsive) * attempt_interval +
                                 round_trips_per_attempt * round_trip + margin;
    SearchIntervals intervals;
    intervals.attempt_interval = attempt_interval;
    intervals.attempt_timeout = connect_timeout;
    const runtime::Time upper_limit = std::max(preferred_max_staleness, runtime::tenths(config_apply) / 2);
    intervals.max_staleness =
        std::clamp(runtime::tenths(config_apply) - search, min_max_staleness, upper_limit);
    intervals.max_propagation = intervals.max_staleness + search;
    return intervals;
}

}  // namespace dewweir::distribution
