// Whether the list of hosts that a gateway holds is young enough to be gone by. A host that says it leaves
// may still be sent requests for a bounded time; reading the list, the news' way here and a request's way to
// its host all take of it, and where this machine's link is full each way takes seconds. The two ways are
// measured together, by the gateway's own stamps that its control plane sends back, so no clocks are
// compared. Pure.
#pragma once

#include <optional>

#include "runtime/event_loop.h"

namespace dewweir::gateway {

class ListLease {
  public:
    // `drain`: from the moment at which a host stands as leaving until nothing may reach it any more.
    explicit ListLease(runtime::Time drain) : drain_(drain) {}

    // The control plane has sent back the stamp made at `stamped`, behind all news it had when it got it; its
    // list was `list_age` old then.
    void echoed(runtime::Time stamped, runtime::Time list_age, runtime::Time now);
    // Silence says nothing of this machine's link: the control plane is lost, or another one is looked for.
    // To be called now and then; a lease that was lost does not stay so without a word.
    void review(runtime::Time now);
    // Whether requests may be sent by the list; true until the first stamp is back.
    bool holds() const { return holds_; }
    // Of the last stamp, there and back.
    runtime::Time round_trip() const { return round_trip_; }
    // How old the list is at most, by the stamps that are back; nothing until the first one is.
    std::optional<runtime::Time> list_age(runtime::Time now) const;

  private:
    runtime::Time drain_;
    runtime::Time round_trip_ = 0;
    runtime::Time echoed_at_ = 0;
    std::optional<runtime::Time> as_of_;  // all news that the platform told before is in the list
    bool holds_ = true;
};

}  // namespace dewweir::gateway
