// Tenants' buckets: what a quota still holds by the counter's word, our part of it, the calls to the counter
// and whether it is to be asked at all.
#pragma once

#include "policy/hosts.h"

namespace dewweir::policy {

struct Buckets : Hosts {
    std::map<std::uint64_t, std::deque<Call>> calls;
    int count_failures = 0;  // in a row; three open the breaker, whose probing call may be out
    bool probing = false;
    Time open_until = 0;
    double counted_part = 1;  // of the requests: those that call
    double count_took = static_cast<double>(count_limit) / 10;

    using Hosts::Hosts;

    static std::uint64_t name_of(const Tenant& t, std::int64_t window) {
        return (t.id << 30) | (window & 0x3fffffff);
    }
    void call(Asked asked, std::uint32_t request, const Tenant& t, std::int64_t window, double amount) {
        const std::uint64_t name = name_of(t, window);
        calls[name].push_back({asked, request, t.id, window, amount});
        gateway.add_to_counter(name, amount, std::min<Time>(2 * t.window_long, 600000));
    }

    // Brings a tenant's record up to this moment: a new window begins, the buckets fill.
    Tenant& brought_up(Tenant& t) {
        const QuotaPlan& p = t.plan;
        if (p.rate <= 0) return t;
        const std::int64_t window = now / t.window_long;
        if (window != t.window) {
            const bool next = window == t.window + 1;
            t.before = next ? t.current : Tally{};
            if (!next) t.tokens = p.burst, t.owed = 0;
            t.previous_known = false;
            t.current = {t.owed};  // what the counter was not told of yet goes on the new name
            t.window = window;
        }
        t.tokens = std::min(p.burst, t.tokens + p.rate * since(t.tokens_at));
        t.local_tokens = std::min(room_of(t), t.local_tokens + p.rate / t.gateways * since(t.local_at));
        t.tokens_at = t.local_at = now;
        return t;
    }

    QuotaShare part_of(const Tenant& t) const {
        return {t.id, static_cast<int>(&t.plan - plans.data()), t.gateways, t.plan.rate, t.plan.burst};
    }
    // Our part of the burst, or one unit where that is more.
    double local_capacity(const Tenant& t) const { return std::max(t.plan.burst / t.gateways, 1.0); }
    double room_of(Tenant& t) { return std::max(0.0, local_capacity(t) - t.moved.lent(now)); }
    bool tiny_bucket(const Tenant& t) const { return t.plan.burst < t.gateways; }
    // Where a plan gains by what lies beyond its quota, and hosts have room, nothing hangs on the quota.
    bool at_stake(const Tenant& t) const {
        return t.plan.extra_benefit <= t.plan.overrun_cost || 2 * out_all >= room();
    }
    double window_passed(const Tenant& t) const {
        return static_cast<double>(now % t.window_long) / t.window_long;
    }

    void meet(std::uint64_t tenant, int plan, int tenant_gateways) {
        const QuotaPlan& p = plans.at(plan);
        const auto [at, fresh] =
            tenants.try_emplace(tenant, Tenant{tenant, p, window_of(p), std::max(1, tenant_gateways)});
        if (!fresh) return;
        Tenant& t = at->second;
        t.tokens = p.burst;
        t.local_tokens = 2 * out_all < room() ? local_capacity(t) : t.tokens / t.gateways;
        t.tokens_at = now;
        t.local_at = t.ceiling_at = started;
    }

    void count_failed() {
        counted_part = std::max(1.0 / 32, counted_part * 0.85);
        if (++count_failures < 3) return;
        if (count_failures == 3)
            gateway.log(LogEvent::breaker_open, 0, "counter silent or failing: breaker open, shares decide");
        open_until = now + jittered(4 * count_limit);
        probing = false;
    }
    void count_answered(Time took) {
        if (count_failures >= 3) gateway.log(LogEvent::breaker_closed, 0, "counter answers: breaker closed");
        counted_part = std::min(1.0, counted_part * 1.02);
        count_failures = 0;
        probing = false;
        move(count_took, static_cast<double>(took), 32);
    }

    void total_told(Tenant& t, const Call& made, double told) {
        if (made.window + 1 < t.window) return;
        Tally& tally = made.window == t.window ? t.current : t.before;
        double total = told + tally.lost;
        // Guards against a counter that forgets or comes back empty: the tenant has no fresh window by it.
        // So does one that holds under half of what two others were told: a little less are units given back.
        tally.own += made.amount;
        const double others = gateway.corroborated_total(name_of(t, made.window));
        const double known = std::max(tally.own, 2 * total < others ? others : 0);
        if (total < known - 0.01) {
            const double should = std::max(tally.total + made.amount, known);
            tally.lost += should - std::exchange(total, should);
        }
        // Of a window that is over and was not known at all, only what the design's check still holds against
        // the tenant: the refill of that time is in no bucket that was full when it was met.
        const bool unknown = made.window != t.window && tally.total == 0;
        t.tokens -= (total - tally.total) * (unknown ? 1 - window_passed(t) : 1);
        tally.total = total;
        // Going over to the part and back must mint no quota: it follows what the bucket was told to hold.
        t.local_tokens = std::clamp(local_capacity(t) * t.tokens / t.plan.burst, 0.0, room_of(t));
        gateway.publish_total(name_of(t, made.window), total);
    }

    // What our part can do without of what another's lacks; half stays for the tenant's next request here.
    // Parts under a unit let in by chance, each for itself: they do not move.
    double lend_tokens(const QuotaShare& of, double units) {
        const auto known = tenants.find(of.tenant);
        const int ours = known == tenants.end() ? gateways : known->second.gateways;
        if (of.plan < 0 || of.plan >= static_cast<int>(plans.size()) || of.gateways != ours) return 0;
        if (plans[of.plan].rate != of.rate || plans[of.plan].burst != of.burst) return 0;
        meet(of.tenant, of.plan, of.gateways);
        Tenant& t = brought_up(tenants.at(of.tenant));
        const double spared = tiny_bucket(t) ? 0 : std::min(units, t.local_tokens / 2);
        t.local_tokens -= spared;
        t.moved.lend(now, spared);
        return spared;
    }

    void give_back(Request& r, bool tell = true) {
        Tenant& t = tenant_of(r);
        // On the counter, the answer puts the totals right.
        if (tell && r.on_counter && r.window + 1 >= t.window) call(Asked::back, 0, t, r.window, -r.units);
        if (r.on_bucket) {
            t.local_tokens += r.units - r.borrowed;  // what was lent is over with the request
            t.tokens += r.units;
            t.current.total -= r.units;
            if (r.window < 0) t.owed -= r.units;
        }
        r.on_counter = r.on_bucket = false;
    }

    // A ceiling must hold whatever the counter says and although gateways restart with nothing: each keeps
    // its own part, which is empty at its start.
    bool ceiling_holds(Tenant& t, double units) {
        const QuotaPlan& p = t.plan;
        if (p.ceiling_rate <= 0) return true;
        const double filled = t.ceiling + p.ceiling_rate / t.gateways * since(t.ceiling_at);
        t.ceiling = std::min(p.ceiling_burst / t.gateways, filled);
        t.ceiling_at = now;
        if (t.ceiling < units) return false;
        t.ceiling -= units;
        return true;
    }
};

}  // namespace dewweir::policy
