// The window of a tenant's quota check and how many requests may pass in one, from the quota and the bound
// that the rules set. Pure.
#pragma once

#include "quota/sliding_count.h"

namespace dewweir::quota {

// The rule: in any span of this length a tenant gets at most (rate x span + burst) x (1 + overshoot) + slack
// requests.
struct QuotaBound {
    std::chrono::milliseconds span{5000};
    double overshoot = 0;
    // Requests.
    double slack = 0;
};

struct WindowCheck {
    // Length of the window.
    Duration window{};
    // Requests in one window, 1 at least.
    double limit = 0;
};

constexpr std::chrono::milliseconds shortest_window{500};
constexpr std::chrono::milliseconds longest_window{5000};
// Fraction of the bound that the check uses; the rest is for the local buckets while a holder is unreachable.
constexpr double bound_used = 0.93;

// In a span the sliding window check passes at most (span / window + 1) x limit requests: those of the
// windows that lie in the span, and those that passed at the end of the window before. The result is the
// longest window for which a limit of rate x window keeps the bound, since long windows refuse fewer requests
// by chance. (The essay uses burst / rate and burst.)
WindowCheck check_for(const Quota& quota, const QuotaBound& bound);

}  // namespace dewweir::quota
