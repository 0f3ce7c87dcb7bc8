#include "bounds.h"

#include <algorithm>

namespace dewweir::limits {

QuotaBounds quota_bounds(double rate, double burst, int gateways) {
    constexpr double seconds_per_minute = 60;
    QuotaBounds b;
    // A share under a unit holds one, so that there is something to admit requests by chance with.
    b.share = std::max(burst / gateways, 1.0);
    b.restart_excess = b.share;
    // Not all shares know what was admitted just before the event, nor what the shares admitted just after
    // it.
    b.event_excess = b.share * gateways;
    b.event_excess_of_minute = b.event_excess / (rate * seconds_per_minute);
    b.lendable = burst >= gateways;
    return b;
}

}  // namespace dewweir::limits
