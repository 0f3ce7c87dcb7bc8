// Converts bounds of a gateway's settings to the types of the packages that use them.
#pragma once

#include "gateway/retry_budget.h"
#include "quota/window_check.h"
#include "settings/settings.h"

namespace dewweir::gateway {

quota::QuotaBound quota_bound(const settings::Settings& settings);
RetryBound retry_bound(const settings::Settings& settings);

}  // namespace dewweir::gateway
