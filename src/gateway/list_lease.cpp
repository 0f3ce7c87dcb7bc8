#include "gateway/list_lease.h"

#include <algorithm>

#include "distribution/intervals.h"

namespace dewweir::gateway {
namespace {

// For timers that are late and the work at both ends.
constexpr runtime::Time margin = 100 * runtime::tenths_per_millisecond;

}  // namespace

void ListLease::echoed(runtime::Time stamped, runtime::Time list_age, runtime::Time now) {
    echoed_at_ = now;
    round_trip_ = now - stamped;
    as_of_ = std::max(as_of_.value_or(stamped - list_age), stamped - list_age);
    // The news' way here is part of the round trip, the request's way out is the other; until the next stamp
    // is back the list grows older by an interval.
    const runtime::Time latest_arrival = list_age + round_trip_ + distribution::heartbeat_interval + margin;
    holds_ = latest_arrival <= drain_;
}

void ListLease::review(runtime::Time now) {
    if (now - echoed_at_ > drain_) holds_ = true;
}

std::optional<runtime::Time> ListLease::list_age(runtime::Time now) const {
    if (!as_of_) return std::nullopt;
    return now - *as_of_;
}

}  // namespace dewweir::gateway
