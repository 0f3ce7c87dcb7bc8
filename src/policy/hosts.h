// Hosts: their latency, concurrency limits, slow start and ejection, and the choice of one for a request.
#pragma once

#include "policy/beliefs.h"

namespace dewweir::policy {

struct Hosts : Base {
    bool watch_due = asks_for_list;             // the list is to be asked for, from the next tick on
    bool list_complete = false;                 // of the list update under way
    int list_update = 0, list_failures = 0;     // number of the last update; failures in a row
    int served_warm = 0;                        // attempts that warm hosts served since the last tick
    int listed_hosts = 0, available_hosts = 0;  // at the last tick; available: listed and not ejected
    double failure_rate = 0;                    // moving average over attempts that ended, 0 to 1
    double unanswered_rate = 0;                 // likewise, of attempts without an answer by their deadline
    double warm_rate = 0;                       // attempts served per warm host and tenth of a millisecond
    double summed_limits = 0;                   // of the available hosts

    using Base::Base;

    void schedule_watch() {  // after a random delay, see Readings::list_request_limit
        const double limit = list_request_limit ? static_cast<double>(*list_request_limit) : 10 * goal;
        const double shared = limit / 2 * fleet_size / (fleet_size + 16);
        const double first = !asks_for_list ? limit / 128 : hosts.empty() ? limit / 64 : shared;
        const double longest = asks_for_list ? 2 * limit : limit / 8;
        const double span = std::min(longest, std::ldexp(first, std::min(list_failures, 6)));
        start_timer(rounded(span * draw()), watch_timer);
    }

    void host_listed(std::uint32_t id, HostState state, Time up_since, int host_zone, int cell) {
        const auto [at, is_new] = hosts.try_emplace(id, Host{id});
        Host& h = at->second;
        if (is_new) {
            h.latency = mean_latency;
            h.limit = initial_concurrency / fleet_size;
            summed_limits += h.limit;
            total_limit = safe_concurrency();
        }
        if (up_since > h.up_since) host_restarted(h, up_since);
        h.list_update = list_update;
        h.listed = state == HostState::ready;
        h.zone = host_zone;
        h.cell = cell;
    }

    void host_restarted(Host& h, Time up_since) {
        h.up_since = up_since;
        h.consecutive_failures = 0;
        h.connected_until = 0;
        h.tokens_updated_at = now;
        h.slow_start_tokens = draw();
        const double chosen = std::min(1.0, 32.0 / fleet_size);
        h.slow_start_weight = draw() < chosen ? 1 / chosen : 0;
    }

    // Wrong reports do bounded harm: half of the hosts stay available, ejected ones are probed all the same.
    void host_reported(Host& h, const HostReport& report) {
        // A start in the future must be wrong, and would keep the host cold for good.
        if (report.up_since > h.up_since && report.up_since <= now + slow_start_window)
            host_restarted(h, report.up_since);
        int unavailable = 1, others = 0;
        for (const auto& [id, other] : hosts)
            if (other.listed && other.id != h.id) {
                ++others;
                unavailable += other.ejected || now < other.withheld_until;
            }
        const bool enough_left = 2 * unavailable <= others + 1;
        h.withheld_until = report.draining && enough_left ? report.expires_at : 0;
        const bool failing = report.suspicion + (h.consecutive_failures > 0) >= 1.5;
        if (h.ejected_by_peers && !failing) {
            h.ejected = h.ejected_by_peers = false;
            h.ejected_until = 0;
        } else if (h.ejected && report.suspicion < 0) {
            h.ejected_until = now;
        } else if (h.ejected && report.last_failure > h.peer_failure_at) {
            h.ejected_until = report.last_failure + shared_probe_delay();
        } else if (h.ejected && report.last_failure == 0 && std::exchange(h.peer_failure_at, 0) > 0) {
            h.ejected_until = std::min(h.ejected_until, now + jittered(h.ejection_time));
        } else if (!h.ejected && failing && enough_left) {
            h.ejected = h.ejected_by_peers = true;
            h.ejected_until = now + shared_probe_delay();
        }
        h.peer_failure_at = std::max(h.peer_failure_at, report.last_failure);
    }

    bool probed_in_turn(const Host& h) const {  // by all gateways: others found it failing too, and lately
        return h.ejected && h.peer_failure_at > 0 && since(h.peer_failure_at) < 16 * goal;
    }
    Time shared_probe_delay() { return rounded(draw() * 4 * goal * fleet_size); }

    bool large_fleet() const { return fleet_size > 8; }  // see SharedState::total_limit
    double safe_concurrency() const { return 1 + summed_limits + 2 * std::sqrt(summed_limits); }
    double capacity() const { return large_fleet() ? total_limit : safe_concurrency(); }

    double warmth(const Host& h) const {  // fraction of a warm host's load that slow start allows; 1: warm
        const double age = std::max(0.0, since(h.up_since)) / static_cast<double>(warm_after);
        return h.up_since <= 0 || age >= 1 ? 1 : slow_start_from + (1 - slow_start_from) * age;
    }

    bool slow_start_allows(Host& h, double warm) {
        if (warm >= 1) return true;
        const double least = slow_start_factor / (slow_start_window * fleet_size);
        const double rate = std::max(warm * warm_rate * slow_start_factor / 2, least) * h.slow_start_weight;
        h.slow_start_tokens = std::min(1.0, h.slow_start_tokens + rate * since(h.tokens_updated_at));
        h.tokens_updated_at = now;
        return h.slow_start_tokens >= 1;
    }

    // The host with the lowest cost, if capacity is left; only `fraction` of all limits is used.
    Host* pick_host(const Request& r, double fraction) {
        Host* best = nullptr;
        double lowest = 0;
        if (total_in_flight + 1 > capacity() * fraction) return best;
        const bool bound = r.may_have_run && r.route->idempotency == "fingerprinted";
        for (auto& [id, h] : hosts) {
            if (!h.listed || now < std::max(h.ejected_until, h.withheld_until)) continue;
            if (h.ejected && h.in_flight > 0) continue;
            if (bound && r.route->dedup_scope == "zone" && h.zone != r.zone) continue;
            if (bound && r.route->dedup_scope == "cell" && h.cell != r.cell) continue;
            const double warm = warmth(h);
            if (h.in_flight + 1 > std::max(1.0, h.limit * warm * fraction)) continue;
            if (!slow_start_allows(h, warm)) continue;
            double cost =
                std::max(h.latency, mean_latency / 4) * (h.in_flight + 1) / (large_fleet() ? 1 : warm);
            // Requests of a large fleet would spread over all hosts, each time over a new connection: the
            // hosts without an open one weigh together as much as one with. Cold hosts have their own budget.
            if (large_fleet() && connection_ttl > 0 && now >= h.connected_until && warm >= 1)
                cost = (h.responded_at ? std::max(h.latency, low_load_latency) : low_load_latency) *
                       std::max(1, available_hosts);
            if (h.zone != zone) cost *= h.zone == zone + 1 ? next_zone_penalty : other_zone_penalty;
            const bool overloaded = now < h.overloaded_until && h.overloaded_for == &tenant_of(r).plan;
            if (id == r.previous_host || overloaded) cost *= 8;
            // While many attempts fail, a host that has answered here is worth more than an unknown one.
            if (h.responded_at == 0) cost *= 1 + 8 * failure_rate;
            // A large fleet would pick the same best host: attempts in flight here don't show its load.
            if (large_fleet()) cost *= std::exponential_distribution<>()(rng);
            // A due probe takes the next request that loses nothing by it; its cost would make it wait long.
            if (probed_in_turn(h) && r.attempts == 0 && r.route->idempotency == "retriable") cost = 0;
            if (!best || cost < lowest) {
                best = &h;
                lowest = cost;
            }
        }
        return best;
    }

    Time attempt_spacing() const {  // mean time between attempts at a warm host, 1 to 16 latency goals
        return std::clamp(rounded(1 / std::max(warm_rate, 1e-9)), route_classes[0].latency_goal,
                          16 * route_classes[0].latency_goal);
    }
    void log_host(LogEvent event, const Host& h, const char* what) {
        gateway.log(event, h.id, "host " + std::to_string(h.id) + what);
    }

    void host_failed(Host& h, Outcome outcome) {
        ++h.consecutive_failures;
        update(failure_rate, 1, 16);
        update(h.latency, goal, 4);
        // In a large fleet one failure ejects: the next request there may be a minute off.
        const int tolerated = large_fleet() ? 1 : outcome == Outcome::connect_failed ? 2 : 3;
        if (h.consecutive_failures < tolerated && !h.ejected) return;
        if (2 * available_hosts < listed_hosts + 2 && !h.ejected) return;  // half fail: not the host's fault
        available_hosts -= !h.ejected;
        if (std::exchange(h.ejected_by_peers, false) || !h.ejected)
            log_host(LogEvent::host_ejected, h, " ejected: consecutive failures");
        h.ejection_time = std::clamp(2 * h.ejection_time, attempt_spacing(), 8 * attempt_spacing());
        h.ejected_until = now + (probed_in_turn(h) ? shared_probe_delay() : jittered(h.ejection_time));
        h.ejected = true;
    }

    void host_overloaded(Host& h, const QuotaPlan* plan) {
        total_limit = std::max(1.0, total_limit * 0.9);
        reduce_limit(h, 0.5);
        h.responded_at = now;
        h.overloaded_until = now + jittered(attempt_spacing());
        if (plan) h.overloaded_for = plan;
    }

    void reduce_limit(Host& h, double factor) { h.limit = std::max(2.0 / fleet_size, h.limit * factor); }

    double target_latency() const { return std::clamp(1.5 * low_load_latency, 0.15 * goal, 0.35 * goal); }

    void host_served(Host& h, Time time) {
        const auto took = static_cast<double>(time);
        h.ejected_by_peers = false;
        if (std::exchange(h.ejected, false)) log_host(LogEvent::host_restored, h, " restored");
        update(failure_rate, 0, 16);
        update(unanswered_rate, 0, 64);
        h.ejection_time = h.consecutive_failures = 0;
        h.responded_at = now;
        update(h.latency, took, large_fleet() ? 3 : 8);
        update(latency_deviation, std::abs(took - mean_latency), 64);
        update(mean_latency, took, 64);
        if (warmth(h) >= 1) ++served_warm;
        update(low_load_latency, mean_latency, mean_latency < low_load_latency ? 16 : 16384);
        const double target = target_latency();
        // By the mean, not the number of slow answers: a tenth may take thrice the mean at unloaded hosts.
        const double excess = std::min(took / (1.5 * target), 4.0) - 1;
        if (excess > 0 || total_limit < safe_concurrency() || total_in_flight + 2 > total_limit)
            total_limit = std::max(1.0, total_limit * (1 - excess / 16));
        if (h.latency < 0.75 * target && h.in_flight + 2 > h.limit)
            h.limit += std::min(h.limit, 1 / (h.limit * fleet_size));
        if (h.latency > target)
            reduce_limit(h, 1 - std::min(0.5, 1 - target / h.latency) / (h.in_flight + 1));
    }

    void update_totals() {
        if (std::exchange(watch_due, false)) schedule_watch();  // a list held from before is known by now
        const double time = static_cast<double>(std::max<Time>(1, now - last_tick_at));
        int warm = 0;
        summed_limits = listed_hosts = available_hosts = 0;
        for (auto& [id, h] : hosts) {
            listed_hosts += h.listed;
            if (h.listed) h.last_listed_at = now;
            if (!h.listed || h.ejected) continue;
            ++available_hosts;
            summed_limits += h.limit;
            warm += warmth(h) >= 1;
        }
        if (warm > 0)
            warm_rate += (served_warm / time / warm - warm_rate) * std::min(1.0, time / slow_start_window);
        served_warm = 0;
        last_tick_at = now;
    }
};

}  // namespace dewweir::policy
