#include "bounds.h"

#include <algorithm>

namespace dewweir::limits {

Bounds quota_bounds(double rate, double burst, int gateways) {
    constexpr double a_minute = 60;
    Bounds b;
    // A part under a unit holds one, so that there is something to let in by chance.
    b.part = std::max(burst / gateways, 1.0);
    b.a_restart = b.part;
    // What was let in just before is not known to all of the parts; nor, just after, what parts have let in.
    b.an_event = b.part * gateways;
    b.of_a_minute = b.an_event / (rate * a_minute);
    b.moves = burst >= gateways;
    return b;
}

}  // namespace dewweir::limits
