// What a gateway's settings say, in the terms of the packages that it is wired from.
#pragma once

#include "gateway/retry_budget.h"
#include "quota/window_check.h"
#include "settings/settings.h"

namespace dewweir::gateway {

quota::QuotaBound quota_bound(const settings::Settings& settings);
RetryBound retry_bound(const settings::Settings& settings);

}  // namespace dewweir::gateway
