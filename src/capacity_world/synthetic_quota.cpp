#include "capacity_world/synthetic_quota.h"

namespace dewweir::capacity_world {
namespace {

constexpr runtime::Time turn_interval = 20 * runtime::tenths_per_millisecond;
// As large as the quotas of the sites' tenants; most requests pass.
constexpr quota::Quota quota_of_tenant{150, 150};

}  // namespace

SyntheticQuota::SyntheticQuota(runtime::EventLoop& loop,
                               std::vector<std::unique_ptr<HollowGateway>>& gateways, const QuotaLoad& load)
    : gateways_(gateways), load_(load), random_(load.seed), timer_(loop) {}

void SyntheticQuota::start() {
    if (load_.requests_per_second > 0) turn();
}

void SyntheticQuota::turn() {
    timer_.start(turn_interval, [this] { turn(); });
    constexpr double turns_per_second = static_cast<double>(runtime::tenths_per_second) / turn_interval;
    owed_ += load_.requests_per_second / turns_per_second;
    for (; owed_ >= 1; owed_ -= 1) {
        for (const auto& gateway : gateways_) ask(*gateway);
    }
}

void SyntheticQuota::ask(HollowGateway& gateway) {
    ++counts_.asked;
    const quota::TenantId tenant = random_() % load_.tenants;
    gateway.quotas().check(tenant, quota_of_tenant, [this](const gateway::QuotaResult& verdict) {
        ++(verdict.admitted ? counts_.passed : counts_.refused);
    });
}

}  // namespace dewweir::capacity_world
