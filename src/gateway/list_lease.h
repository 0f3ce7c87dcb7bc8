// A lease on the list of hosts that a gateway holds: until when requests may be sent by it. A host that says
// it leaves may still be sent requests for a bounded time; reading the list, the news' way here and a
// request's way to its host all take of it. The two ways are measured together, by the gateway's own stamps
// that its control plane sends back, so no clocks are compared. The lease ends by itself: a stamp that is
// late, or a process that stood still, can't make it longer. Pure.
#pragma once

#include <optional>

#include "runtime/event_loop.h"

namespace dewweir::gateway {

class ListLease {
  public:
    struct Limits {
        // From the moment at which a host stands as leaving until nothing may reach it any more.
        runtime::Time drain = 0;
        // The longest search for another control plane while the core is in order, once this one is in doubt.
        runtime::Time search = 0;
        // A machine that no control plane could reach for so long is not held to `drain`.
        runtime::Time contact = 0;
    };

    explicit ListLease(const Limits& limits) : limits_(limits) {}

    // The control plane has sent back the stamp made at `stamped`, behind all news it had when it got it; its
    // list was `list_age` old then.
    void echoed(runtime::Time stamped, runtime::Time list_age, runtime::Time now);
    // A heartbeat interval has gone by in which this process ran. `link_prompt`: another gateway has answered
    // it at once since `overdue_from`. After many without a stamp the control planes are lost, and the last
    // list is gone by until one is back; after fewer where it can't be this machine's link that is late.
    void interval_passed(bool link_prompt);
    // From when on the next stamp was overdue.
    runtime::Time overdue_from() const;
    // Stamps don't come back, though this machine's link is prompt: another control plane may answer.
    bool in_doubt() const { return in_doubt_; }
    // Another control plane is asked from now on.
    void asked_another();
    // Whether requests may be sent by the list; not before the first stamp is back.
    bool holds(runtime::Time now) const { return now <= valid_until_; }
    // The last moment at which it holds.
    runtime::Time valid_until() const { return valid_until_; }
    // Of the last stamp, there and back.
    runtime::Time round_trip() const { return round_trip_; }
    // How old the list is at most, by the stamps that are back; nothing until the first one is.
    std::optional<runtime::Time> list_age(runtime::Time now) const;

  private:
    Limits limits_;
    runtime::Time round_trip_ = 0;
    runtime::Time valid_until_ = 0;
    runtime::Time echoed_at_ = 0;
    bool in_doubt_ = false;
    runtime::Time silence_ = 0;           // intervals without a stamp
    runtime::Time asked_another_at_ = 0;  // in the same silence
    std::optional<runtime::Time> as_of_;  // all news that the platform told before is in the list
};

}  // namespace dewweir::gateway
