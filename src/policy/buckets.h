// Customers' stores: what a quota still holds by the counter's word, our part of it, the calls to the counter
// and whether it is to be asked at all.
#pragma once

#include "policy/hosts.h"

namespace dewweir::policy {

struct Stores : Hosts {
    std::map<std::uint64_t, std::deque<Call>> calls;
    int count_failures = 0;  // in a row; three open the breaker, whose probing call may be out
    bool probing = false;
    Time open_until = 0;
    double counted_part = 1;  // of the submissions: those that call
    double count_took = static_cast<double>(count_limit) / 10;

    using Hosts::Hosts;

    static std::uint64_t name_of(const Customer& c, std::int64_t window) {
        return (c.id << 30) | (window & 0x3fffffff);
    }
    void call(Asked asked, std::uint32_t submission, const Customer& c, std::int64_t window, double amount) {
        const std::uint64_t name = name_of(c, window);
        calls[name].push_back({asked, submission, c.id, window, amount});
        gateway.count(name, amount, std::min<Time>(2 * c.window_long, 600000));
    }

    // Brings a customer's record up to this moment: a new window begins, the stores fill.
    Customer& brought_up(Customer& c) {
        const Plan& p = c.plan;
        if (p.rate <= 0) return c;
        const std::int64_t window = now / c.window_long;
        if (window != c.window) {
            const bool next = window == c.window + 1;
            c.before = next ? c.current : Tally{};
            if (!next) c.level = p.burst, c.owed = 0;
            c.previous_known = false;
            c.current = {c.owed};  // what the counter was not told of yet goes on the new name
            c.window = window;
        }
        c.level = std::min(p.burst, c.level + p.rate * since(c.level_at));
        c.share = std::min(room_of(c), c.share + p.rate / c.gateways * since(c.share_at));
        c.level_at = c.share_at = now;
        return c;
    }

    PartOf part_of(const Customer& c) const {
        return {c.id, static_cast<int>(&c.plan - plans.data()), c.gateways, c.plan.rate, c.plan.burst};
    }
    // Our part of the burst, or one unit where that is more.
    double whole_share(const Customer& c) const { return std::max(c.plan.burst / c.gateways, 1.0); }
    double room_of(Customer& c) { return std::max(0.0, whole_share(c) - c.moved.lent(now)); }
    bool tiny_share(const Customer& c) const { return c.plan.burst < c.gateways; }
    // Where a plan gains by what lies beyond its quota, and hosts have room, nothing hangs on the quota.
    bool at_stake(const Customer& c) const {
        return c.plan.extra_benefit <= c.plan.overrun_cost || 2 * out_all >= room();
    }
    double window_passed(const Customer& c) const {
        return static_cast<double>(now % c.window_long) / c.window_long;
    }

    void meet(std::uint64_t customer, int plan, int customer_gateways) {
        const Plan& p = plans.at(plan);
        const auto [at, fresh] = customers.try_emplace(
            customer, Customer{customer, p, window_of(p), std::max(1, customer_gateways)});
        if (!fresh) return;
        Customer& c = at->second;
        c.level = p.burst;
        c.share = 2 * out_all < room() ? whole_share(c) : c.level / c.gateways;
        c.level_at = now;
        c.share_at = c.ceiling_at = started;
    }

    void count_failed() {
        counted_part = std::max(1.0 / 32, counted_part * 0.85);
        if (++count_failures < 3) return;
        if (count_failures == 3)
            gateway.log(Notice::breaker_open, 0, "counter silent or failing: breaker open, shares decide");
        open_until = now + jittered(4 * count_limit);
        probing = false;
    }
    void count_answered(Time took) {
        if (count_failures >= 3) gateway.log(Notice::breaker_closed, 0, "counter answers: breaker closed");
        counted_part = std::min(1.0, counted_part * 1.02);
        count_failures = 0;
        probing = false;
        move(count_took, static_cast<double>(took), 32);
    }

    void total_told(Customer& c, const Call& made, double told) {
        if (made.window + 1 < c.window) return;
        Tally& tally = made.window == c.window ? c.current : c.before;
        double total = told + tally.lost;
        // Guards against a counter that forgets or comes back empty: the customer has no fresh window by it.
        // So does one that holds under half of what two others were told: a little less are units given back.
        tally.own += made.amount;
        const double others = gateway.others_total(name_of(c, made.window));
        const double known = std::max(tally.own, 2 * total < others ? others : 0);
        if (total < known - 0.01) {
            const double should = std::max(tally.total + made.amount, known);
            tally.lost += should - std::exchange(total, should);
        }
        // Of a window that is over and was not known at all, only what the design's check still holds against
        // the customer: the refill of that time is in no store that was full when it was met.
        const bool unknown = made.window != c.window && tally.total == 0;
        c.level -= (total - tally.total) * (unknown ? 1 - window_passed(c) : 1);
        tally.total = total;
        // Going over to the part and back must mint no quota: it follows what the store was told to hold.
        c.share = std::clamp(whole_share(c) * c.level / c.plan.burst, 0.0, room_of(c));
        gateway.total_known(name_of(c, made.window), total);
    }

    // What our part can do without of what another's lacks; half stays for the customer's next piece here.
    // Parts under a unit let in by chance, each for itself: they do not move.
    double spare(const PartOf& of, double units) {
        const auto known = customers.find(of.customer);
        const int ours = known == customers.end() ? gateways : known->second.gateways;
        if (of.plan < 0 || of.plan >= static_cast<int>(plans.size()) || of.gateways != ours) return 0;
        if (plans[of.plan].rate != of.rate || plans[of.plan].burst != of.burst) return 0;
        meet(of.customer, of.plan, of.gateways);
        Customer& c = brought_up(customers.at(of.customer));
        const double spared = tiny_share(c) ? 0 : std::min(units, c.share / 2);
        c.share -= spared;
        c.moved.lend(now, spared);
        return spared;
    }

    void give_back(Submission& s, bool tell = true) {
        Customer& c = customer_of(s);
        // On the counter, the answer puts the totals right.
        if (tell && s.on_counter && s.window + 1 >= c.window) call(Asked::back, 0, c, s.window, -s.units);
        if (s.on_share) {
            c.share += s.units - s.borrowed;  // what was lent is over with the submission
            c.level += s.units;
            c.current.total -= s.units;
            if (s.window < 0) c.owed -= s.units;
        }
        s.on_counter = s.on_share = false;
    }

    // A ceiling must hold whatever the counter says and although gateways restart with nothing: each keeps
    // its own part, which is empty at its start.
    bool ceiling_holds(Customer& c, double units) {
        const Plan& p = c.plan;
        if (p.ceiling_rate <= 0) return true;
        const double filled = c.ceiling + p.ceiling_rate / c.gateways * since(c.ceiling_at);
        c.ceiling = std::min(p.ceiling_burst / c.gateways, filled);
        c.ceiling_at = now;
        if (c.ceiling < units) return false;
        c.ceiling -= units;
        return true;
    }
};

}  // namespace dewweir::policy
