#include "gateway/list_lease.h"

#include <algorithm>
#include <limits>

#include "distribution/intervals.h"

namespace dewweir::gateway {
namespace {

// For timers that are late and the work at both ends.
constexpr runtime::Time margin = 100 * runtime::tenths_per_millisecond;
constexpr runtime::Time no_end = std::numeric_limits<runtime::Time>::max();

}  // namespace

void ListLease::echoed(runtime::Time stamped, runtime::Time list_age, runtime::Time now) {
    silence_ = 0;
    round_trip_ = now - stamped;
    as_of_ = std::max(as_of_.value_or(stamped - list_age), stamped - list_age);
    // The news' way here is part of the round trip, a request's way out is the other.
    valid_until_ = now + limits_.drain - list_age - round_trip_ - margin;
}

void ListLease::interval_passed(bool link_prompt) {
    silence_ += distribution::heartbeat_interval;
    if (silence_ >= (link_prompt ? limits_.search : limits_.contact)) valid_until_ = no_end;
}

std::optional<runtime::Time> ListLease::list_age(runtime::Time now) const {
    if (!as_of_) return std::nullopt;
    return now - *as_of_;
}

}  // namespace dewweir::gateway
