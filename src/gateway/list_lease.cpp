#include "gateway/list_lease.h"

#include <algorithm>
#include <limits>

#include "distribution/intervals.h"

namespace dewweir::gateway {
namespace {

// For timers that are late and the work at both ends.
constexpr runtime::Time margin = 100 * runtime::tenths_per_millisecond;
// A stamp that is so late is not merely held up.
constexpr runtime::Time doubt_limit = 2 * distribution::heartbeat_interval;
constexpr runtime::Time no_end = std::numeric_limits<runtime::Time>::max();

}  // namespace

void ListLease::echoed(runtime::Time stamped, runtime::Time list_age, runtime::Time now) {
    silence_ = 0;
    asked_another_at_ = 0;
    in_doubt_ = false;
    echoed_at_ = now;
    round_trip_ = now - stamped;
    as_of_ = std::max(as_of_.value_or(stamped - list_age), stamped - list_age);
    // The news' way here is part of the round trip, a request's way out is the other.
    valid_until_ = now + limits_.drain - list_age - round_trip_ - margin;
}

void ListLease::interval_passed(bool link_prompt) {
    silence_ += distribution::heartbeat_interval;
    in_doubt_ = link_prompt && silence_ - asked_another_at_ >= doubt_limit;
    const bool lost = link_prompt && silence_ >= doubt_limit + limits_.search;
    if (lost || silence_ >= limits_.contact) valid_until_ = no_end;
}

void ListLease::asked_another() {
    asked_another_at_ = silence_;
    in_doubt_ = false;
}

runtime::Time ListLease::overdue_from() const {
    return echoed_at_ + round_trip_ + distribution::heartbeat_interval;
}

std::optional<runtime::Time> ListLease::list_age(runtime::Time now) const {
    if (!as_of_) return std::nullopt;
    return now - *as_of_;
}

}  // namespace dewweir::gateway
