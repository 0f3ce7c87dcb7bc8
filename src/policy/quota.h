// Whether a request is let in: the two-window check on the counter, our local bucket when it is not asked,
// and what lies beyond the quota.
#pragma once

#include "policy/attempts.h"

namespace dewweir::policy {

struct Quota : Attempts {
    using Attempts::Attempts;

    void request_received(std::uint32_t id, int route_class, int plan, std::uint64_t tenant, double units,
                          int tenant_gateways, Time patience_left) {
        meet(tenant, plan, tenant_gateways);
        const RouteClass& route = route_classes.at(route_class);
        const Time goal_at = now + std::min(route.goal, patience_left);
        Request& r = requests[id] = {&route, tenant, units, goal_at, now + patience_left};
        arm(std::max<Time>(1, patience_left - 2 * step), limit, id);
        // Overload: what cannot be answered in useful time is refused before it is counted. A try may be its
        // client's third, which is not told, so the line is kept well under the goal.
        if (!line.empty() && wait_in_line() > static_cast<double>(r.goal_at - now) / 8)
            return count(Decision::queue_too_long), reject(id, r, whole(wait_in_line() / 2));
        check_quota(id, r);
    }

    void check_quota(std::uint32_t id, Request& r) {
        Tenant& t = brought_up(tenant_of(r));
        const QuotaPlan& p = t.plan;
        if (p.parallel > 0 && t.open >= std::max(1.0, std::floor(p.parallel / t.gateways)))
            return reject(id, r, 0);
        if (p.rate <= 0) return take_in(id, r);
        // Guards the counter against tenants far over: one found over is not asked for again before a
        // window, longer at a crowded counter, or before its bucket has refilled; a tiny local one decides.
        if (now < t.over_until && tiny_bucket(t)) return decide_locally(id, r);
        if (now < t.over_until && t.tokens < 0.9 * r.units)
            return count(Decision::still_over_quota), beyond(id, r, r.units);
        // Guards a crowded counter: local buckets decide a part, and a tenant's next call adds for them too.
        // Requests whose local bucket is short call first: the counter may know of room elsewhere.
        const bool in_doubt = at_stake(t) && t.local_tokens < r.units;
        const double calling = at_stake(t) ? counted_part : std::max(0.0, 2 * counted_part - 1);
        const bool open = count_failures >= 3;
        if ((open && (now < open_until || probing)) || !has_counter || draw() > calling * (in_doubt ? 8 : 1))
            return decide_locally(id, r);
        if (open) probing = true;
        r.window = t.window;
        r.call_out = true;
        call(Asked::add, id, t, t.window, r.units + std::exchange(t.owed, 0));
        arm(std::min(count_limit, std::max(whole(8 * count_took), count_limit / 2)), count_late, id);
    }

    // The design's check: what was counted in this window and the part of the one before that still overlaps.
    void decide_by_count(std::uint32_t id, Request& r) {
        disarm(count_late, id);
        Tenant& t = brought_up(tenant_of(r));
        const double estimate = t.before.total * (1 - window_passed(t)) + r.reading;
        // Departure: over by the window, but the quota's bucket, replayed from the totals, holds the units.
        if (estimate <= t.plan.burst || t.tokens >= 0) {
            t.over_until = 0;
            return count(Decision::admitted_by_counter), take_in(id, r);
        }
        count(Decision::over_quota_by_counter);
        // At a crowded counter, what is not given back pays for what the tiny local buckets let in.
        give_back(r, !tiny_bucket(t) || counted_part >= 0.5);
        t.over_until = now + whole(static_cast<double>(t.window_long) / counted_part);
        beyond(id, r, 0);  // its own units leave the bucket only with the next answer
    }

    void decide_locally(std::uint32_t id, Request& r) {
        disarm(count_late, id);
        Tenant& t = brought_up(tenant_of(r));
        // A local bucket smaller than the request lets it in by chance, so that all local buckets together
        // let in the quota: neither nothing nor one request at each gateway.
        const double held = t.local_tokens + t.moved.borrowed(now);
        const bool pass = held >= r.units * draw() || (tiny_bucket(t) && !at_stake(t));
        const double rest = t.moved.spend(now, r.units);
        t.local_tokens = std::max(0.0, t.local_tokens - rest);
        count(pass ? Decision::admitted_locally : Decision::over_quota_locally);
        if (!pass) return gateway.report_shortage(part_of(t), r.units), beyond(id, r, r.units);
        r.borrowed = r.units - rest;
        t.tokens -= r.units;
        t.current.total += r.units;
        r.on_bucket = true;
        if (r.window < 0) t.owed += r.units;  // else a call is out that may have added them
        take_in(id, r);
    }

    // Beyond the quota: worth sending only where the plan earns by it, and with room to spare at a host.
    void beyond(std::uint32_t id, Request& r, double lacking) {
        Tenant& t = tenant_of(r);
        if (t.plan.extra_benefit > t.plan.overrun_cost && line.empty()) {
            if (Host* const host = pick_host(r, 0.5)) return ++t.open, start_attempt(id, r, *host);
        }
        // Advice past the goal would bring clients back late, to take units that fresh requests need: the
        // latest moment that can still be in time is told instead.
        const Time refilled = whole(std::max(0.0, lacking - t.tokens) / t.plan.rate);
        reject(id, r, std::min(refilled, std::max<Time>(0, r.goal_at - needed(r) - now)));
    }

    void counted(std::uint64_t name, Outcome outcome, double told, Time took) {
        const auto found = calls.find(name);
        if (found == calls.end()) return;
        const Call made = found->second.front();
        found->second.pop_front();
        if (found->second.empty()) calls.erase(found);
        const auto known = tenants.find(made.tenant);
        if (known == tenants.end()) return;
        Tenant& t = brought_up(known->second);
        const auto waiting = requests.find(made.request);
        const bool awaited = waiting != requests.end() && waiting->second.stage == Stage::counting;
        if (outcome == Outcome::ok) count_answered(took), total_told(t, made, told);
        else if (probing || (outcome != Outcome::broken && (awaited || made.asked == Asked::previous)))
            count_failed();  // an answer that cannot be read is no sign of a slow counter
        if (made.asked == Asked::previous) return previous_told(t, made, outcome);
        if (made.asked == Asked::back || waiting == requests.end()) return;
        Request& r = waiting->second;
        r.call_out = false;
        if (outcome == Outcome::ok) {
            r.on_counter = true, r.on_bucket = false;
            r.reading = t.current.total;
            if (r.stage == Stage::over) give_back(r);
        } else if (outcome != Outcome::timeout && outcome != Outcome::broken && made.window == t.window) {
            t.owed += made.amount - (r.on_bucket ? 0 : r.units);
            r.window = -1;
        }
        if (r.stage == Stage::over && r.attempts == 0) requests.erase(waiting);
        if (!awaited) return;
        if (outcome != Outcome::ok) return decide_locally(made.request, r);
        // The window before is read once, where it can matter and no crowded counter is needed for more.
        const double burst = t.plan.burst;
        if (!t.previous_known && r.reading > burst * window_passed(t) &&
            r.reading + t.before.total > burst / 2 && (counted_part >= 0.5 || tiny_bucket(t))) {
            if (t.readers.empty()) call(Asked::previous, made.request, t, t.window - 1, 0);
            return t.readers.push_back(made.request);
        }
        decide_by_count(made.request, r);
    }

    void previous_told(Tenant& t, const Call& made, Outcome outcome) {
        t.previous_known |= outcome == Outcome::ok && made.window + 1 == t.window;
        for (const std::uint32_t id : std::exchange(t.readers, {}))
            if (Request* const r = open_one(id); r && r->stage == Stage::counting) decide_by_count(id, *r);
    }

    void on_count_late(std::uint32_t id) {
        Request* const r = open_one(id);
        if (!r || r->stage != Stage::counting) return;
        if (r->on_counter) return decide_by_count(id, *r);  // just the window before is not told
        count_failed();
        decide_locally(id, *r);
    }
};

}  // namespace dewweir::policy
