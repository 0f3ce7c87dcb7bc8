// Lease on the list of hosts: until when this gateway may send requests by the list that it holds. A host
// that starts draining may be sent requests for a bounded time (`drain`), and three delays use up that time:
// the age of the control plane's list, the transit of an update to this gateway, and the transit of a request
// to its host. The two transits are measured together, as the round trip of a timestamp of this gateway that
// its control plane echoes, so that no clocks of different machines are compared. The lease expires by
// itself: a late echo, or a pause of this process, cannot extend it. Performs no I/O; the caller passes the
// time.
#pragma once

#include <optional>

#include "runtime/event_loop.h"

namespace dewweir::gateway {

class ListLease {
  public:
    struct Limits {
        // From the time at which the platform lists a host as draining until no request may reach it.
        runtime::Time drain = 0;
        // Longest search for another control plane after the current one is suspected, as long as no more
        // machines than planned have failed.
        runtime::Time search = 0;
        // A machine that no control plane could reach for this long is not held to `drain`.
        runtime::Time contact = 0;
    };

    explicit ListLease(const Limits& limits) : limits_(limits) {}

    // The control plane has echoed the timestamp `sent_at`, after all updates that it had when it received
    // the timestamp. Its list was `list_age` old then. Renews the lease.
    void echo_received(runtime::Time sent_at, runtime::Time list_age, runtime::Time now);
    // A control plane that is in sync and has a list has sent something. As long as that happens the list is
    // late, not lost.
    void control_plane_heard() { control_plane_heard_ = true; }
    // A heartbeat interval has passed while this process was running. `link_responsive`: another gateway has
    // answered this one in time since `echo_overdue_since`. After enough silent intervals, without an echo or
    // a word of a control plane in sync, the control planes are considered lost, and the lease has no end
    // until one of them echoes again, so that requests are served by the last list. With a responsive link
    // fewer intervals suffice, since then the delay cannot be caused by this machine's link.
    void interval_passed(bool link_responsive);
    // Time from which the next echo was overdue.
    runtime::Time echo_overdue_since() const;
    // The control plane is suspected: its echoes are missing although this machine's link is responsive.
    // Another control plane should be tried.
    bool suspected() const { return suspected_; }
    // This gateway has switched to another control plane, which is given the full delay before suspicion.
    void control_plane_switched();
    // Whether requests may be sent by the list. False until the first echo.
    bool holds(runtime::Time now) const { return now <= valid_until_; }
    // The last moment at which the lease holds.
    runtime::Time valid_until() const { return valid_until_; }
    // Round trip of the last echoed timestamp.
    runtime::Time round_trip() const { return round_trip_; }
    // Upper bound on the age of the list; nothing before the first echo.
    std::optional<runtime::Time> list_age(runtime::Time now) const;

  private:
    Limits limits_;
    runtime::Time round_trip_ = 0;
    runtime::Time valid_until_ = 0;
    runtime::Time last_echo_at_ = 0;
    bool suspected_ = false;
    // Heartbeat intervals in which this process ran since the last echo.
    runtime::Time time_without_echo_ = 0;
    // Heartbeat intervals in which this process ran since a control plane in sync was last heard from.
    runtime::Time silent_time_ = 0;
    bool control_plane_heard_ = false;  // since the last interval passed
    // The value of `time_without_echo_` when the control plane was last switched; 0 if that was not since the
    // last echo.
    runtime::Time time_without_echo_at_switch_ = 0;
    // The list contains every change that the platform had published before this time.
    std::optional<runtime::Time> list_as_of_;
};

}  // namespace dewweir::gateway
