#include "gateway/list_lease.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "distribution/intervals.h"

namespace dewweir::gateway {
namespace {

// Covers late timers and the processing time at both ends.
constexpr runtime::Time safety_margin = 100 * runtime::tenths_per_millisecond;
// Without an echo for this long the control plane is suspected; a shorter delay may be queueing.
constexpr runtime::Time suspicion_delay = 2 * distribution::heartbeat_interval;
constexpr runtime::Time no_expiry = std::numeric_limits<runtime::Time>::max();

}  // namespace

void ListLease::echo_received(runtime::Time sent_at, runtime::Time list_age, runtime::Time now) {
    time_without_echo_ = 0;
    silent_time_ = 0;
    time_without_echo_at_switch_ = 0;
    suspected_ = false;
    last_echo_at_ = now;
    round_trip_ = now - sent_at;
    list_as_of_ = std::max(list_as_of_.value_or(sent_at - list_age), sent_at - list_age);
    // The round trip covers the transit of an update to this gateway and that of a request to its host.
    valid_until_ = now + limits_.drain - list_age - round_trip_ - safety_margin;
}

void ListLease::interval_passed(bool link_responsive) {
    time_without_echo_ += distribution::heartbeat_interval;
    silent_time_ += distribution::heartbeat_interval;
    if (std::exchange(control_plane_heard_, false)) silent_time_ = 0;
    suspected_ = link_responsive && time_without_echo_ - time_without_echo_at_switch_ >= suspicion_delay;
    const bool lost = link_responsive && silent_time_ >= suspicion_delay + limits_.search;
    if (lost || silent_time_ >= limits_.contact) valid_until_ = no_expiry;
}

void ListLease::control_plane_switched() {
    time_without_echo_at_switch_ = time_without_echo_;
    suspected_ = false;
}

runtime::Time ListLease::echo_overdue_since() const {
    return last_echo_at_ + round_trip_ + distribution::heartbeat_interval;
}

std::optional<runtime::Time> ListLease::list_age(runtime::Time now) const {
    if (!list_as_of_) return std::nullopt;
    return now - *list_as_of_;
}

}  // namespace dewweir::gateway
