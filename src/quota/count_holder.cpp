#include "quota/count_holder.h"

namespace dewweir::quota {
namespace {

constexpr std::chrono::seconds idle_limit{20};
// In requests; the record of a gateway whose estimate has fallen below it is dropped.
constexpr double negligible = 1e-9;

}  // namespace

HeldCount CountHolder::state(TimePoint now, const Statement& statement) {
    Tenant& tenant = tenants_[statement.tenant];
    tenant.last_statement_at = now;
    GatewayCount& own = tenant.gateways[statement.gateway];
    if (statement.sequence >= own.sequence) {
        own.sequence = statement.sequence;
        own.count = SlidingCount(now - statement.elapsed, statement.current, statement.previous);
    }
    double others = 0;
    for (auto at = tenant.gateways.begin(); at != tenant.gateways.end();) {
        const double estimate = at->second.count.estimate(now, statement.window);
        const bool is_own = at->first == statement.gateway;
        if (!is_own) others += estimate;
        at = !is_own && estimate < negligible ? tenant.gateways.erase(at) : std::next(at);
    }
    const Duration elapsed = now.time_since_epoch() % Duration(statement.window);
    return {others, std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)};
}

void CountHolder::drop_idle(TimePoint now) {
    std::erase_if(tenants_,
                  [&](const auto& item) { return now - item.second.last_statement_at > idle_limit; });
}

}  // namespace dewweir::quota
