#include "bounds.h"

#include <algorithm>

namespace dewweir::limits {

QuotaBounds quota_bounds(double rate, double burst, int gateways) {
    constexpr double a_minute = 60;
    QuotaBounds b;
    // A part under a unit holds one, so that there is something to let in by chance.
    b.share = std::max(burst / gateways, 1.0);
    b.restart_excess = b.share;
    // What was let in just before is not known to all of the parts; nor, just after, what parts have let in.
    b.event_excess = b.share * gateways;
    b.event_excess_of_minute = b.event_excess / (rate * a_minute);
    b.lendable = burst >= gateways;
    return b;
}

}  // namespace dewweir::limits
