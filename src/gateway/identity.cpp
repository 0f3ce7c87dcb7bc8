#include "gateway/identity.h"

namespace dewweir::gateway {

quota::QuotaBound quota_bound(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    return {bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack};
}

RetryBound retry_bound(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    return {bounds.retry_ratio, bounds.retry_slack};
}

}  // namespace dewweir::gateway
