// Whether a request is admitted: by the counter's totals, by the local share, or beyond the quota.
#pragma once

#include "policy/attempts.h"

namespace dewweir::policy {

struct Quota : Attempts {
    using Attempts::Attempts;

    void request_received(std::uint32_t id, int route_class, int plan, std::uint64_t tenant, double units,
                          int tenant_gateways, Time time_left) {
        ensure_tenant(tenant, plan, tenant_gateways);
        const RouteClass& route = route_classes.at(route_class);
        const Time goal_deadline = now + std::min(route.latency_goal, time_left);
        Request& r = requests[id] = {&route, tenant, units, goal_deadline, now + time_left};
        start_timer(std::max<Time>(1, time_left - 2 * timer_step), deadline_timer, id);
        // Overload: refused before it is counted. An eighth, as it may be its client's third attempt.
        if (!queue.empty() && queue_wait() > static_cast<double>(r.goal_deadline - now) / 8) {
            count(Decision::queue_too_long);
            return reject(id, r, rounded(queue_wait() / 2));
        }
        check_quota(id, r);
    }

    void check_quota(std::uint32_t id, Request& r) {
        Tenant& t = refreshed(tenant_of(r));
        const QuotaPlan& p = t.plan;
        if (p.max_open > 0 && t.open_requests >= std::max(1.0, std::floor(p.max_open / t.gateways)))
            return reject(id, r, 0);
        if (p.rate <= 0) return admit(id, r);
        if (now < t.over_quota_until && under_a_unit(t)) return decide_locally(id, r);
        if (now < t.over_quota_until && t.tokens < 0.9 * r.units) {
            count(Decision::still_over_quota);
            return handle_over_quota(id, r, r.units);
        }
        // Requests beyond the local share call more often: the counter may know of tokens elsewhere.
        const bool short_here = quota_matters(t) && t.local_tokens < r.units;
        const double fraction = quota_matters(t) ? call_fraction : std::max(0.0, 2 * call_fraction - 1);
        const bool breaker_open = counter_failures >= 3;
        if ((breaker_open && (now < breaker_open_until || breaker_probing)) || !has_counter ||
            draw() > fraction * (short_here ? 8 : 1))
            return decide_locally(id, r);
        if (breaker_open) breaker_probing = true;
        r.window = t.window;
        r.call_pending = true;
        call(CallPurpose::add_request, id, t, t.window, r.units + std::exchange(t.uncounted_units, 0));
        start_timer(std::min(counter_timeout, std::max(rounded(8 * counter_latency), counter_timeout / 2)),
                    counter_timer, id);
    }

    // Sliding window: this window's units and those of the previous one, as far as it still overlaps.
    void decide_by_total(std::uint32_t id, Request& r) {
        cancel_timer(counter_timer, id);
        Tenant& t = refreshed(tenant_of(r));
        const double estimate = t.previous.total * (1 - window_elapsed(t)) + r.counter_total;
        // Over the window's limit a request still passes if the quota's token bucket holds its units.
        if (estimate <= t.plan.burst || t.tokens >= 0) {
            t.over_quota_until = 0;
            count(Decision::admitted_by_counter);
            return admit(id, r);
        }
        count(Decision::over_quota_by_counter);
        // At a slow counter, units not given back make up for what shares under a unit admit by chance.
        give_back(r, !under_a_unit(t) || call_fraction >= 0.5);
        t.over_quota_until = now + rounded(static_cast<double>(t.window_length) / call_fraction);
        handle_over_quota(id, r, 0);  // its own units leave the bucket only with the next answer
    }

    void decide_locally(std::uint32_t id, Request& r) {
        cancel_timer(counter_timer, id);
        Tenant& t = refreshed(tenant_of(r));
        // A share smaller than the request admits it by chance: all shares together admit the quota.
        const double held = t.local_tokens + t.loans.borrowed(now);
        const bool admitted = held >= r.units * draw() || (under_a_unit(t) && !quota_matters(t));
        const double from_share = t.loans.spend(now, r.units);
        t.local_tokens = std::max(0.0, t.local_tokens - from_share);
        count(admitted ? Decision::admitted_locally : Decision::over_quota_locally);
        if (!admitted) gateway.report_shortage(share_of(t), r.units);
        if (!admitted) return handle_over_quota(id, r, r.units);
        r.borrowed = r.units - from_share;
        t.tokens -= r.units;
        t.current.total += r.units;
        r.on_local_share = true;
        if (r.window < 0) t.uncounted_units += r.units;  // otherwise a call under way may have added them
        admit(id, r);
    }

    // Sent all the same if the plan gains by it and a host is at most at half of its limit.
    void handle_over_quota(std::uint32_t id, Request& r, double missing) {
        Tenant& t = tenant_of(r);
        if (t.plan.extra_benefit > t.plan.overrun_cost && queue.empty()) {
            if (Host* const host = pick_host(r, 0.5)) {
                ++t.open_requests;
                return start_attempt(id, r, *host);
            }
        }
        // Never past the last moment that can meet the goal: late requests take units that fresh ones need.
        const Time refilled = rounded(std::max(0.0, missing - t.tokens) / t.plan.rate);
        reject(id, r, std::min(refilled, std::max<Time>(0, r.goal_deadline - expected_time(r) - now)));
    }

    void counter_replied(std::uint64_t name, Outcome outcome, double total, Time took) {
        const auto found = calls.find(name);
        if (found == calls.end()) return;
        const Call made = found->second.front();
        found->second.pop_front();
        if (found->second.empty()) calls.erase(found);
        const auto known = tenants.find(made.tenant);
        if (known == tenants.end()) return;
        Tenant& t = refreshed(known->second);
        const auto request = requests.find(made.request);
        const bool awaited = request != requests.end() && request->second.stage == Stage::awaiting_quota;
        if (outcome == Outcome::ok) {
            counter_answered(took);
            apply_total(t, made, total);
        } else if (breaker_probing ||
                   (outcome != Outcome::broken && (awaited || made.purpose == CallPurpose::read_previous))) {
            counter_failed();  // an unreadable answer is no sign of a slow counter
        }
        if (made.purpose == CallPurpose::read_previous) return previous_read(t, made, outcome);
        if (made.purpose == CallPurpose::give_back || request == requests.end()) return;
        Request& r = request->second;
        r.call_pending = false;
        if (outcome == Outcome::ok) {
            r.on_counter = true;
            r.on_local_share = false;
            r.counter_total = t.current.total;
            if (r.stage == Stage::answered) give_back(r);
        } else if (outcome != Outcome::timeout && outcome != Outcome::broken && made.window == t.window) {
            t.uncounted_units += made.units - (r.on_local_share ? 0 : r.units);
            r.window = -1;
        }
        if (r.stage == Stage::answered && r.attempts == 0) requests.erase(request);
        if (!awaited) return;
        if (outcome != Outcome::ok) return decide_locally(made.request, r);
        // The previous window is read once, if it can change the decision and the counter is not slow.
        const double burst = t.plan.burst;
        if (!t.previous_known && r.counter_total > burst * window_elapsed(t) &&
            r.counter_total + t.previous.total > burst / 2 && (call_fraction >= 0.5 || under_a_unit(t))) {
            if (t.awaiting_previous.empty())
                call(CallPurpose::read_previous, made.request, t, t.window - 1, 0);
            return t.awaiting_previous.push_back(made.request);
        }
        decide_by_total(made.request, r);
    }

    void previous_read(Tenant& t, const Call& made, Outcome outcome) {
        t.previous_known |= outcome == Outcome::ok && made.window + 1 == t.window;
        for (const std::uint32_t id : std::exchange(t.awaiting_previous, {}))
            if (Request* const r = find_open(id); r && r->stage == Stage::awaiting_quota)
                decide_by_total(id, *r);
    }

    void on_counter_late(std::uint32_t id) {
        Request* const r = find_open(id);
        if (!r || r->stage != Stage::awaiting_quota) return;
        if (r->on_counter) return decide_by_total(id, *r);  // only the previous window is missing
        counter_failed();
        decide_locally(id, *r);
    }
};

}  // namespace dewweir::policy
