#include "quota/admission.h"

#include <algorithm>

namespace dewweir::quota {
namespace {

constexpr std::chrono::seconds idle_limit{30};
// The shortest pause that refused clients are advised.
constexpr std::chrono::milliseconds least_retry_after{20};
// Clients refused in a short burst need not wait for all the others: demand may have fallen by then.
constexpr std::chrono::milliseconds longest_turn{1000};

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration from_seconds(double duration) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration));
}

// This gateway's share of a window's limit, 1 request at least.
double bucket_size(const WindowCheck& check, int gateways) { return std::max(1.0, check.limit / gateways); }

}  // namespace

Admission::Tenant& Admission::tenant_of(TimePoint now, TenantId id, const Quota& quota, int gateways) {
    const auto [at, fresh] = tenants_.try_emplace(id);
    Tenant& tenant = at->second;
    const bool changed = tenant.quota != quota;
    if (changed || fresh) tenant.check = check_for(quota, bound_);
    tenant.quota = quota;
    tenant.gateways = std::max(1, gateways);
    tenant.used_at = now;
    if (fresh) {
        tenant.tokens = bucket_size(tenant.check, tenant.gateways);
        tenant.refilled_at = now;
    }
    if (changed && !fresh) tenant.answered_at.reset();
    return tenant;
}

Statement Admission::make_statement(TimePoint now, TenantId id, Tenant& tenant) {
    Statement statement;
    statement.tenant = id;
    statement.gateway = self_;
    statement.sequence = ++sequence_;
    statement.window = std::chrono::duration_cast<std::chrono::milliseconds>(tenant.check.window);
    statement.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - tenant.own.began());
    statement.current = tenant.own.current();
    statement.previous = tenant.own.previous();
    return statement;
}

Decision Admission::request(TimePoint now, TenantId id, const Quota& quota, int gateways,
                            bool holder_reachable) {
    if (!quota.limits()) return {Admitted::passed};
    Tenant& tenant = tenant_of(now, id, quota, gateways);
    if (!holder_reachable) {
        Decision decision = decide_locally(now, tenant, false);
        // Stated all the same: the breaker may be open here only, and the others must not admit these
        // requests too.
        if (decision.result == Admitted::passed) decision.statement = make_statement(now, id, tenant);
        return decision;
    }
    const Duration window = tenant.check.window;
    const double own = tenant.own.estimate(now, window);
    const bool fresh = tenant.answered_at && now - *tenant.answered_at < window;
    if (fresh) {
        // Over the limit even if no other gateway has admitted anything since the answer.
        const double decayed = tenant.others * (1 - seconds(now - *tenant.answered_at) / seconds(window));
        if (own + decayed + 1 > tenant.check.limit) return refuse(now, tenant);
    }
    const double allowed_ahead = (tenant.check.limit - own - tenant.others) / tenant.gateways;
    const bool ahead = fresh && static_cast<double>(tenant.ahead.size()) + 1 <= allowed_ahead;
    tenant.own.add(now, window, 1);
    Decision decision{ahead ? Admitted::passed : Admitted::pending};
    decision.statement = make_statement(now, id, tenant);
    decision.wants_answer = true;
    if (ahead) tenant.ahead.push_back(decision.statement->sequence);
    return decision;
}

Decision Admission::answered(TimePoint now, TenantId id, std::uint64_t sequence, const HeldCount& held) {
    const auto found = tenants_.find(id);
    if (found == tenants_.end()) return {Admitted::passed};
    Tenant& tenant = found->second;
    const bool was_ahead = std::erase(tenant.ahead, sequence) > 0;
    const Duration window = tenant.check.window;
    if (held.elapsed) tenant.own.align(now, window, now - std::min<Duration>(*held.elapsed, window));
    const double own = tenant.own.estimate(now, window);
    const double others = held.others;
    tenant.others = others;
    tenant.answered_at = now;
    // Going over to the bucket must not create tokens: it holds this gateway's share of what is left.
    refill(now, tenant);
    const double left = std::clamp(1 - (own + others) / tenant.check.limit, 0.0, 1.0);
    tenant.tokens = std::min(tenant.tokens, left * bucket_size(tenant.check, tenant.gateways));
    if (was_ahead || own + others <= tenant.check.limit) return {Admitted::passed};
    tenant.own.add(now, window, -1);
    Decision decision = refuse(now, tenant);
    decision.statement = make_statement(now, id, tenant);  // without the request
    return decision;
}

Decision Admission::unanswered(TimePoint now, TenantId id, std::uint64_t sequence) {
    const auto found = tenants_.find(id);
    if (found == tenants_.end()) return {Admitted::passed};
    Tenant& tenant = found->second;
    const bool was_ahead = std::erase(tenant.ahead, sequence) > 0;
    if (was_ahead) return {Admitted::passed};
    return decide_locally(now, tenant, true);
}

// The next statement tells the holder.
void Admission::give_back(TimePoint now, TenantId id) {
    const auto found = tenants_.find(id);
    if (found == tenants_.end()) return;
    Tenant& tenant = found->second;
    tenant.own.add(now, tenant.check.window, -1);
    tenant.tokens = std::min(tenant.tokens + 1, bucket_size(tenant.check, tenant.gateways));
}

void Admission::refill(TimePoint now, Tenant& tenant) const {
    const double rate = tenant.quota.rate_per_s / tenant.gateways;
    const double size = bucket_size(tenant.check, tenant.gateways);
    tenant.tokens = std::min(size, tenant.tokens + rate * seconds(now - tenant.refilled_at));
    tenant.refilled_at = now;
}

// `counted`: the request is in the gateway's own count already.
Decision Admission::decide_locally(TimePoint now, Tenant& tenant, bool counted) {
    refill(now, tenant);
    const Duration window = tenant.check.window;
    if (tenant.tokens >= 1) {
        tenant.tokens -= 1;
        if (!counted) tenant.own.add(now, window, 1);
        return {Admitted::passed};
    }
    if (counted) tenant.own.add(now, window, -1);
    const double rate = tenant.quota.rate_per_s / tenant.gateways;
    return {Admitted::refused,
            std::max<Duration>(from_seconds((1 - tenant.tokens) / rate), least_retry_after)};
}

// Until the estimate is under the limit: it falls at least as fast as counted requests leave the window. And
// until the requests refused earlier have had their turn, if all of them come back: as many pass per window
// as in the last one.
Duration Admission::time_until_admitted(TimePoint now, Tenant& tenant) const {
    const Duration window = tenant.check.window;
    const double own = tenant.own.estimate(now, window);
    const double total = own + tenant.others;
    const double excess = std::max(0.0, total + 1 - tenant.check.limit);
    const double until_under_limit = seconds(window) * excess / std::max(1.0, total);
    const double waiting = tenant.refused.estimate(now, window) / std::max(1.0, own);
    const double in_turn = std::min(seconds(window) * waiting, seconds(longest_turn));
    return std::max<Duration>(from_seconds(std::max(until_under_limit, in_turn)), least_retry_after);
}

Decision Admission::refuse(TimePoint now, Tenant& tenant) const {
    const Duration wait = time_until_admitted(now, tenant);
    tenant.refused.add(now, tenant.check.window, 1);
    return {Admitted::refused, wait};
}

void Admission::drop_idle(TimePoint now) {
    std::erase_if(tenants_, [&](const auto& item) { return now - item.second.used_at > idle_limit; });
}

}  // namespace dewweir::quota
