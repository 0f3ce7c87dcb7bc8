// What all parts use. Each knows those below it only: beliefs, hosts, buckets, attempts, quota, decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <utility>

#include "records.h"

namespace dewweir::policy {

inline Time rounded(double time) { return std::llround(time); }

struct Base : SharedState {
    Base(Gateway& g, const Settings& settings, std::uint64_t seed, Time at)
        : SharedState(g, settings, seed, at) {
        goal = static_cast<double>(route_classes[0].latency_goal);
        record_ttl = 4 * warm_after;
        connection_ttl = idle_timeout * 3 / 4;
        for (const QuotaPlan& p : plans) {
            const Time refill = p.ceiling_rate > 0 ? rounded(p.ceiling_burst / p.ceiling_rate) : 0;
            record_ttl = std::max({record_ttl, 4 * window_length_of(p), refill});
        }
        tick_interval = std::max(timer_step, route_classes[0].latency_goal / 50);
        last_tick_at = now;
        mean_latency = low_load_latency = goal / 6;
        start_timer(tick_interval, tick_timer);
    }

    double since(Time moment) const { return static_cast<double>(now - moment); }
    double draw() { return std::uniform_real_distribution<>()(rng); }
    Time jittered(Time time) {  // from half of it to one and a half times it
        return time / 2 + std::uniform_int_distribution<Time>(0, std::max<Time>(1, time))(rng);
    }
    static void update(double& average, double sample, double samples) {  // exponentially weighted
        average += (sample - average) / samples;
    }
    void start_timer(Time from_now, Timer timer, std::uint64_t id = 0) {
        gateway.start_timer(from_now, id << 3 | timer);
    }
    void cancel_timer(Timer timer, std::uint64_t id) { gateway.cancel_timer(id << 3 | timer); }
    void count(Decision decision) { ++decision_counts[static_cast<std::size_t>(decision)]; }

    Time window_length_of(const QuotaPlan& p) const {
        return p.rate > 0 ? std::max<Time>(timer_step, rounded(p.burst / p.rate)) : 0;
    }
    Tenant& tenant_of(const Request& r) { return tenants.at(r.tenant); }
    Request* find_open(std::uint32_t id) {  // none once its client has had the final answer
        const auto found = requests.find(id);
        return found == requests.end() || found->second.stage == Stage::answered ? nullptr : &found->second;
    }
    Time expected_time(const Request& r) const {
        return std::min(rounded(mean_latency + latency_deviation), r.route->latency_goal / 2);
    }
};

}  // namespace dewweir::policy
