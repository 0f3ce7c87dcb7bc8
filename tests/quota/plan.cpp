// Draws the plan of a schedule from its seed.
#include <algorithm>
#include <numeric>

#include "quota/schedule.h"

namespace dewweir::quota::testing {
namespace {

class Draw {
  public:
    explicit Draw(std::uint64_t seed) : random_(seed) {}

    double between(double low, double high) { return std::uniform_real_distribution<>(low, high)(random_); }
    int whole(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }
    bool chance(double share) { return between(0, 1) < share; }
    TimePoint moment() { return began + milliseconds(whole(1'000, 13'000)); }
    Span span() {
        const TimePoint from = moment();
        return {from, from + milliseconds(whole(500, 8'000))};
    }

  private:
    std::mt19937_64 random_;
};

TenantPlan draw_tenant(Draw& draw, bool calm_demand) {
    TenantPlan tenant;
    tenant.quota.rate_per_s = draw.chance(0.3) ? draw.between(0.5, 5) : draw.between(5, 60);
    tenant.quota.burst = draw.chance(0.2) ? 0 : tenant.quota.rate_per_s * draw.between(0.2, 2);
    // As many schedules below the quota as far above.
    tenant.demand = draw.chance(0.4) ? draw.between(0.3, 1.5) : draw.between(1.5, 10);
    if (calm_demand) tenant.demand = draw.between(0.3, 0.6);
    tenant.shape = static_cast<Demand>(draw.whole(0, calm_demand ? 2 : 3));
    return tenant;
}

std::vector<int> draw_cut(Draw& draw, int gateways) {
    std::vector<int> all(static_cast<std::size_t>(gateways));
    std::iota(all.begin(), all.end(), 0);
    all.resize(static_cast<std::size_t>(draw.whole(1, gateways - 1)));
    return all;
}

void draw_faults(Draw& draw, Plan& plan) {
    const auto has = [&](Kind kind) { return plan.kind == kind || plan.kind == Kind::all_at_once; };
    if (has(Kind::holder_silent)) plan.silent.push_back(draw.span());
    if (has(Kind::holder_restart)) {
        for (int count = draw.whole(1, 2); count > 0; --count) plan.holder_restarts.push_back(draw.moment());
    }
    if (has(Kind::gateways_cut)) {
        plan.cut = draw.span();
        plan.cut_gateways = draw_cut(draw, plan.gateways);
    }
    if (has(Kind::gateway_restart)) {
        for (int count = draw.whole(1, 4); count > 0; --count) {
            const TimePoint at = draw.moment();
            plan.gateway_restarts.push_back({at, draw.whole(0, plan.gateways - 1)});
        }
    }
}

}  // namespace

const char* name_of(Kind kind) {
    switch (kind) {
        case Kind::calm: return "calm";
        case Kind::holder_silent: return "holder silent";
        case Kind::holder_restart: return "holder restarted";
        case Kind::gateways_cut: return "some gateways cut off";
        case Kind::gateway_restart: return "gateways restarted";
        case Kind::all_at_once: return "all at once";
    }
    return "";
}

Plan draw_plan(std::uint64_t seed, bool calm_demand) {
    Draw draw(seed);
    Plan plan;
    plan.kind = calm_demand ? Kind::calm : kinds[seed % std::size(kinds)];
    plan.gateways = draw.whole(3, 12);
    for (int count = draw.whole(1, 2); count > 0; --count)
        plan.tenants.push_back(draw_tenant(draw, calm_demand));
    plan.loss = draw.chance(0.3) ? 0 : draw.between(0, calm_demand ? 0.02 : 0.2);
    plan.doubling = draw.chance(0.3) ? 0 : draw.between(0, 0.1);
    plan.delay = microseconds(draw.whole(200, 56'000));
    plan.jitter = microseconds(draw.chance(0.7) ? draw.whole(0, 5'000) : draw.whole(5'000, 60'000));
    if (calm_demand) plan.jitter = std::min(plan.jitter, microseconds(5'000));
    draw_faults(draw, plan);
    return plan;
}

}  // namespace dewweir::quota::testing
