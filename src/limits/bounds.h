// How far over a quota all gateways together can be, derived from the plan and the fleet's size: what
// `dewweir explain-bounds` prints for a fleet file, and what tests hold measured figures against. Pure.
#pragma once

namespace dewweir::limits {

struct QuotaBounds {
    double share = 0;  // units that one gateway's part holds at the most
    double an_event =
        0;  // units beyond, of the counter's going, its return, or its return with nothing: each once
    double restart_excess = 0;  // units beyond, of a gateway started again while the counter is away: each
    double event_excess_of_minute = 0;  // `an_event` as a part of what the quota allows in a minute
    bool lendable = false;              // whether parts of it can move: they hold a unit and more
};

// `rate` in units a second and `burst` in units, both over 0; `gateways` from 1: a tenant's.
QuotaBounds quota_bounds(double rate, double burst, int gateways);

}  // namespace dewweir::limits
