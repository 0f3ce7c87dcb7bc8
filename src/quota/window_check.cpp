#include "quota/window_check.h"

#include <algorithm>

namespace dewweir::quota {

WindowCheck check_for(const Quota& quota, const QuotaBound& bound) {
    const double span = std::chrono::duration<double>(bound.span).count();
    const double allowed = (quota.rate_per_s * span + quota.burst) * (1 + bound.overshoot) + bound.slack;
    const double used = bound_used * allowed;
    const double longest = std::chrono::duration<double>(longest_window).count();
    const double shortest = std::chrono::duration<double>(shortest_window).count();
    const double window = std::clamp((used - quota.rate_per_s * span) / quota.rate_per_s, shortest, longest);
    const double limit = std::max(1.0, used / (span / window + 1));
    return {std::chrono::duration_cast<Duration>(std::chrono::duration<double>(window)), limit};
}

}  // namespace dewweir::quota
