// Tenants' token buckets, the calls to the quota counter and the circuit breaker before it.
#pragma once

#include "policy/hosts.h"

namespace dewweir::policy {

struct Buckets : Hosts {
    std::map<std::uint64_t, std::deque<Call>> calls;  // unanswered, by counter name, oldest first
    int counter_failures = 0;                         // in a row; from three on the breaker is open
    bool breaker_probing = false;                     // half-open: its one call is under way
    Time breaker_open_until = 0;
    double call_fraction = 1;  // of the requests that ask the counter; each failure lowers it
    double counter_latency = static_cast<double>(counter_timeout) / 10;  // moving average

    using Hosts::Hosts;

    static std::uint64_t counter_name(const Tenant& t, std::int64_t window) {
        return (t.id << 30) | (window & 0x3fffffff);
    }
    void call(CallPurpose purpose, std::uint32_t id, const Tenant& t, std::int64_t window, double units) {
        const std::uint64_t name = counter_name(t, window);
        calls[name].push_back({purpose, id, t.id, window, units});
        gateway.add_to_counter(name, units, std::min<Time>(2 * t.window_length, 600000));
    }

    Tenant& refreshed(Tenant& t) {  // brings its windows and buckets up to now
        const QuotaPlan& p = t.plan;
        if (p.rate <= 0) return t;
        const std::int64_t window = now / t.window_length;
        if (window != t.window) {
            const bool next = window == t.window + 1;
            t.previous = next ? t.current : WindowCount{};
            if (!next) t.tokens = p.burst;
            if (!next) t.uncounted_units = 0;
            t.previous_known = false;
            t.current = {t.uncounted_units};  // the next call adds them to the new window
            t.window = window;
        }
        t.tokens = std::min(p.burst, t.tokens + p.rate * since(t.tokens_updated_at));
        t.local_tokens =
            std::min(local_limit(t), t.local_tokens + p.rate / t.gateways * since(t.local_updated_at));
        t.tokens_updated_at = t.local_updated_at = now;
        return t;
    }

    QuotaShare share_of(const Tenant& t) const {
        return {t.id, static_cast<int>(&t.plan - plans.data()), t.gateways, t.plan.rate, t.plan.burst};
    }
    double local_capacity(const Tenant& t) const { return std::max(t.plan.burst / t.gateways, 1.0); }
    double local_limit(Tenant& t) { return std::max(0.0, local_capacity(t) - t.loans.lent(now)); }
    bool under_a_unit(const Tenant& t) const { return t.plan.burst < t.gateways; }
    bool quota_matters(const Tenant& t) const {  // not where units beyond it pay and hosts have capacity
        return t.plan.extra_benefit <= t.plan.overrun_cost || 2 * total_in_flight >= capacity();
    }
    double window_elapsed(const Tenant& t) const {
        return static_cast<double>(now % t.window_length) / t.window_length;
    }

    void ensure_tenant(std::uint64_t tenant, int plan, int tenant_gateways) {
        const QuotaPlan& p = plans.at(plan);
        const auto [at, is_new] =
            tenants.try_emplace(tenant, Tenant{tenant, p, window_length_of(p), std::max(1, tenant_gateways)});
        if (!is_new) return;
        Tenant& t = at->second;
        t.tokens = p.burst;
        t.local_tokens = 2 * total_in_flight < capacity() ? local_capacity(t) : t.tokens / t.gateways;
        t.tokens_updated_at = now;
        t.local_updated_at = t.ceiling_updated_at = started_at;
    }

    void counter_failed() {
        call_fraction = std::max(1.0 / 32, call_fraction * 0.85);
        if (++counter_failures < 3) return;
        if (counter_failures == 3)
            gateway.log(LogEvent::breaker_open, 0, "breaker open: quota counter fails, local shares decide");
        breaker_open_until = now + jittered(4 * counter_timeout);
        breaker_probing = false;
    }
    void counter_answered(Time took) {
        if (counter_failures >= 3)
            gateway.log(LogEvent::breaker_closed, 0, "breaker closed: quota counter answers again");
        call_fraction = std::min(1.0, call_fraction * 1.02);
        counter_failures = 0;
        breaker_probing = false;
        update(counter_latency, static_cast<double>(took), 32);
    }

    void apply_total(Tenant& t, const Call& made, double answered) {
        if (made.window + 1 < t.window) return;
        WindowCount& counted = made.window == t.window ? t.current : t.previous;
        double total = answered + counted.lost;
        // Guards against a counter that has lost its data: what was added here counts, and what two other
        // gateways were told, if it is over twice the total (a little more: units have been given back).
        counted.own += made.units;
        const double others = gateway.corroborated_total(counter_name(t, made.window));
        const double known = std::max(counted.own, 2 * total < others ? others : 0);
        if (total < known - 0.01) {
            const double expected = std::max(counted.total + made.units, known);
            counted.lost += expected - std::exchange(total, expected);
        }
        const bool unknown = made.window != t.window && counted.total == 0;
        t.tokens -= (total - counted.total) * (unknown ? 1 - window_elapsed(t) : 1);
        counted.total = total;
        t.local_tokens = std::clamp(local_capacity(t) * t.tokens / t.plan.burst, 0.0, local_limit(t));
        gateway.publish_total(counter_name(t, made.window), total);
    }

    double lend_tokens(const QuotaShare& share, double units) {
        const auto known = tenants.find(share.tenant);
        const int sharing = known == tenants.end() ? fleet_size : known->second.gateways;
        if (share.plan < 0 || share.plan >= static_cast<int>(plans.size()) || share.gateways != sharing)
            return 0;
        if (plans[share.plan].rate != share.rate || plans[share.plan].burst != share.burst) return 0;
        ensure_tenant(share.tenant, share.plan, share.gateways);
        Tenant& t = refreshed(tenants.at(share.tenant));
        const double lent = under_a_unit(t) ? 0 : std::min(units, t.local_tokens / 2);
        t.local_tokens -= lent;
        t.loans.lend(now, lent);
        return lent;
    }

    void give_back(Request& r, bool to_counter = true) {
        Tenant& t = tenant_of(r);
        if (to_counter && r.on_counter && r.window + 1 >= t.window)
            call(CallPurpose::give_back, 0, t, r.window, -r.units);  // its answer corrects the totals here
        if (r.on_local_share) {
            t.local_tokens += r.units - r.borrowed;  // borrowed units are used up
            t.tokens += r.units;
            t.current.total -= r.units;
            if (r.window < 0) t.uncounted_units -= r.units;
        }
        r.on_counter = r.on_local_share = false;
    }

    bool take_from_ceiling(Tenant& t, double units) {
        const QuotaPlan& p = t.plan;
        if (p.ceiling_rate <= 0) return true;
        const double filled = t.ceiling_tokens + p.ceiling_rate / t.gateways * since(t.ceiling_updated_at);
        t.ceiling_tokens = std::min(p.ceiling_burst / t.gateways, filled);
        t.ceiling_updated_at = now;
        if (t.ceiling_tokens < units) return false;
        t.ceiling_tokens -= units;
        return true;
    }
};

}  // namespace dewweir::policy
