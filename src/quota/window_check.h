// The window of the check and what may pass in one, from a tenant's quota and the bound that the rules set.
// Pure.
#pragma once

#include "quota/sliding_count.h"

namespace dewweir::quota {

// Of the rules: in any span of this length a tenant gets at most (rate x span + burst) x (1 + overshoot) +
// slack.
struct QuotaBound {
    std::chrono::milliseconds span{5000};
    double overshoot = 0;
    double slack = 0;  // requests
};

struct WindowCheck {
    Duration window{};
    double limit = 0;  // requests in one window, one at least
};

constexpr std::chrono::milliseconds shortest_window{500};
constexpr std::chrono::milliseconds longest_window{5000};
// Part of the bound that the check uses; the rest is for local buckets while a holder can't be asked.
constexpr double bound_used = 0.93;

// In a span s the two-window check passes at most (s / window + 1) x limit: the windows that lie in it, and
// what had passed at the end of the one before. The window is the longest for which a limit of rate x window
// keeps to the bound: long windows refuse less by chance. (The essay has burst / rate and burst.)
WindowCheck check_for(const Quota& quota, const QuotaBound& bound);

}  // namespace dewweir::quota
