// What a gateway's settings say of it, in the terms of the packages that it is wired from.
#pragma once

#include "quota/window_check.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// Where it takes the system's own messages.
settings::Endpoint internal_endpoint(const settings::Settings& settings);
// As other members know it; a new life with each call.
wire::Member describe_gateway(const settings::Settings& settings);
quota::QuotaBound quota_bound(const settings::Settings& settings);

}  // namespace dewweir::gateway
