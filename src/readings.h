// What the decision module reads at its start: the settings' texts as checked values, and no more. What
// follows from them is decided under src/policy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir {

struct RouteClass {
    Time goal, remembered;
    std::string repeats, scope;
};

struct QuotaPlan {  // units; rates in units a tenth of a millisecond, 0: none
    double rate, burst, extra_benefit, overrun_cost, ceiling_rate, ceiling_burst, parallel;
};

struct Readings {
    // Throws errors::BadSetting naming the setting that is missing or unreadable.
    explicit Readings(const Settings& settings);

    Time step, count_limit, fall, warm_after, longest_advice, idle_close;  // idle_close 0: not told
    std::optional<Time> ask_within;
    int gateways, zone, most_attempts;
    double cold_from, fall_multiple;
    double first_places;           // at a host not met yet, of all gateways together
    double next_zone, other_zone;  // what a host there weighs against one here: the zone numbered next, others
    bool may_cancel, has_counter, asks;
    std::vector<RouteClass> route_classes;  // one at least
    std::vector<QuotaPlan> plans;
};

}  // namespace dewweir
