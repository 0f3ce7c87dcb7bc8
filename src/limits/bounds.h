// How far all gateways together can exceed a quota, derived from the plan and the number of gateways:
// `dewweir explain-bounds` prints it for a fleet file, and tests hold measured figures against it. Pure.
#pragma once

namespace dewweir::limits {

struct QuotaBounds {
    // Units that one gateway's share holds at most.
    double share = 0;
    // Units beyond the quota, once for each of these events: the counter becomes unreachable, is reached
    // again, or comes back without its data.
    double event_excess = 0;
    // Units beyond the quota for each restart of a gateway while the counter is unreachable.
    double restart_excess = 0;
    // `event_excess` as a fraction of what the quota allows in a minute.
    double event_excess_of_minute = 0;
    // Whether gateways lend each other units of their shares: shares hold a unit at least.
    bool lendable = false;
};

// `rate` in units per second and `burst` in units, both over 0; `gateways`, 1 at least, share the quota.
QuotaBounds quota_bounds(double rate, double burst, int gateways);

}  // namespace dewweir::limits
