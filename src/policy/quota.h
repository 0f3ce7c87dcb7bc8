// Whether a submission is let in: the two-window check on the counter, our share when it is not asked, and
// what lies beyond the quota.
#pragma once

#include "policy/executions.h"

namespace dewweir::policy {

struct Quota : Executions {
    using Executions::Executions;

    void submitted(std::uint32_t id, int track, int plan, std::uint64_t customer, double units,
                   int customer_gateways, Time patience_left) {
        meet(customer, plan, customer_gateways);
        const Track& t = tracks.at(track);
        const Time goal_at = now + std::min(t.goal, patience_left);
        Submission& s = submissions[id] = {&t, customer, units, goal_at, now + patience_left};
        arm(std::max<Time>(1, patience_left - 2 * step), limit, id);
        // Overload: what cannot be answered in useful time is bounced before it is counted. A try may be its
        // client's third, which is not told, so the line is kept well under the goal.
        if (!line.empty() && wait_in_line() > static_cast<double>(s.goal_at - now) / 8)
            return count(Decision::long_line), turn_down(id, s, whole(wait_in_line() / 2));
        check_quota(id, s);
    }

    void check_quota(std::uint32_t id, Submission& s) {
        Customer& c = brought_up(customer_of(s));
        const Plan& p = c.plan;
        if (p.parallel > 0 && c.open >= std::max(1.0, std::floor(p.parallel / c.gateways)))
            return turn_down(id, s, 0);
        if (p.rate <= 0) return take_in(id, s);
        // Guards the counter against customers far over: one found over is not asked for again before a
        // window, longer at a crowded counter, or before its store has refilled; a tiny share decides then.
        if (now < c.over_until && tiny_share(c)) return decide_by_share(id, s);
        if (now < c.over_until && c.level < 0.9 * s.units)
            return count(Decision::over_already), beyond(id, s, s.units);
        // Guards a crowded counter: shares decide a part, and a customer's next call adds for them too. Calls
        // go first to those whose share does not hold their units: the counter may know of room elsewhere.
        const bool in_doubt = at_stake(c) && c.share < s.units;
        const double calling = at_stake(c) ? counted_part : std::max(0.0, 2 * counted_part - 1);
        const bool open = count_failures >= 3;
        if ((open && (now < open_until || probing)) || !has_counter || draw() > calling * (in_doubt ? 8 : 1))
            return decide_by_share(id, s);
        if (open) probing = true;
        s.window = c.window;
        s.call_out = true;
        call(Asked::add, id, c, c.window, s.units + std::exchange(c.owed, 0));
        arm(std::min(count_limit, std::max(whole(8 * count_took), count_limit / 2)), count_late, id);
    }

    // The design's check: what was counted in this window and the part of the one before that still overlaps.
    void decide_by_count(std::uint32_t id, Submission& s) {
        disarm(count_late, id);
        Customer& c = brought_up(customer_of(s));
        const double estimate = c.before.total * (1 - window_passed(c)) + s.reading;
        // Departure: over by the window, but the quota's store, replayed from the totals, holds the units.
        if (estimate <= c.plan.burst || c.level >= 0) {
            c.over_until = 0;
            return count(Decision::counted_in), take_in(id, s);
        }
        count(Decision::counted_over);
        // At a crowded counter, what is not given back pays for what the tiny shares let in.
        give_back(s, !tiny_share(c) || counted_part >= 0.5);
        c.over_until = now + whole(static_cast<double>(c.window_long) / counted_part);
        beyond(id, s, 0);  // its own units leave the store only with the next answer
    }

    void decide_by_share(std::uint32_t id, Submission& s) {
        disarm(count_late, id);
        Customer& c = brought_up(customer_of(s));
        // A share smaller than the submission lets it in by chance, so that all shares together let in the
        // quota: neither nothing nor one piece at each gateway.
        const double held = c.share + c.moved.held(now);
        const bool pass = held >= s.units * draw() || (tiny_share(c) && !at_stake(c));
        const double rest = c.moved.use(now, s.units);
        c.share = std::max(0.0, c.share - rest);
        count(pass ? Decision::share_in : Decision::share_over);
        if (!pass) return gateway.lacks(part_of(c), s.units), beyond(id, s, s.units);
        s.borrowed = s.units - rest;
        c.level -= s.units;
        c.current.total += s.units;
        s.on_share = true;
        if (s.window < 0) c.owed += s.units;  // else a call is out that may have added them
        take_in(id, s);
    }

    // Beyond the quota: worth sending only where the plan earns by it, and with room to spare at a host.
    void beyond(std::uint32_t id, Submission& s, double lacking) {
        Customer& c = customer_of(s);
        if (c.plan.extra_benefit > c.plan.overrun_cost && line.empty()) {
            if (Host* const host = pick_host(s, 0.5)) return ++c.open, execute(id, s, *host);
        }
        // Advice past the goal would bring clients back late, to take units that fresh submissions need: the
        // latest moment that can still be in time is told instead.
        const Time refilled = whole(std::max(0.0, lacking - c.level) / c.plan.rate);
        turn_down(id, s, std::min(refilled, std::max<Time>(0, s.goal_at - needed(s) - now)));
    }

    void counted(std::uint64_t name, Verdict verdict, double told, Time took) {
        const auto found = calls.find(name);
        if (found == calls.end()) return;
        const Call made = found->second.front();
        found->second.pop_front();
        if (found->second.empty()) calls.erase(found);
        const auto known = customers.find(made.customer);
        if (known == customers.end()) return;
        Customer& c = brought_up(known->second);
        const auto waiting = submissions.find(made.submission);
        const bool awaited = waiting != submissions.end() && waiting->second.stage == Stage::counting;
        if (verdict == Verdict::ok) count_answered(took), total_told(c, made, told);
        else if (probing || (verdict != Verdict::broken && (awaited || made.asked == Asked::previous)))
            count_failed();  // an answer that cannot be read is no sign of a slow counter
        if (made.asked == Asked::previous) return previous_told(c, made, verdict);
        if (made.asked == Asked::back || waiting == submissions.end()) return;
        Submission& s = waiting->second;
        s.call_out = false;
        if (verdict == Verdict::ok) {
            s.on_counter = true, s.on_share = false;
            s.reading = c.current.total;
            if (s.stage == Stage::over) give_back(s);
        } else if (verdict != Verdict::timeout && verdict != Verdict::broken && made.window == c.window) {
            c.owed += made.amount - (s.on_share ? 0 : s.units);
            s.window = -1;
        }
        if (s.stage == Stage::over && s.executions == 0) submissions.erase(waiting);
        if (!awaited) return;
        if (verdict != Verdict::ok) return decide_by_share(made.submission, s);
        // The window before is read once, where it can matter and no crowded counter is needed for more.
        const double burst = c.plan.burst;
        if (!c.previous_known && s.reading > burst * window_passed(c) &&
            s.reading + c.before.total > burst / 2 && (counted_part >= 0.5 || tiny_share(c))) {
            if (c.readers.empty()) call(Asked::previous, made.submission, c, c.window - 1, 0);
            return c.readers.push_back(made.submission);
        }
        decide_by_count(made.submission, s);
    }

    void previous_told(Customer& c, const Call& made, Verdict verdict) {
        c.previous_known |= verdict == Verdict::ok && made.window + 1 == c.window;
        for (const std::uint32_t id : std::exchange(c.readers, {}))
            if (Submission* const s = open_one(id); s && s->stage == Stage::counting) decide_by_count(id, *s);
    }

    void on_count_late(std::uint32_t id) {
        Submission* const s = open_one(id);
        if (!s || s->stage != Stage::counting) return;
        if (s->on_counter) return decide_by_count(id, *s);  // just the window before is not told
        count_failed();
        decide_by_share(id, *s);
    }
};

}  // namespace dewweir::policy
