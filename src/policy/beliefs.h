// What all parts of the decisions share: records, beliefs of all hosts, alarms and chance. Each part knows
// those below it and none above: beliefs, hosts, buckets, attempts, quota; Decisions itself stands on the
// last.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

#include "records.h"

namespace dewweir::policy {

inline Time whole(double time) { return std::llround(time); }

enum Alarm : std::uint64_t { beat, limit, count_late, follow, place_free };

struct Beliefs : Readings {
    Gateway& gateway;
    std::mt19937 chance;
    Time now, started, beat_every, beat_at, kept, connection_kept, forgot_at = 0, told_at = 0;
    double goal;                                        // of the first route class
    std::map<std::uint32_t, Host> hosts;                // by id
    std::unordered_map<std::uint64_t, Tenant> tenants;  // by id, never walked but to forget
    std::map<std::uint32_t, Request> requests;
    std::deque<std::uint32_t> line;
    DecisionCounts decided{};  // since it was last told
    // Of all hosts: the usual time of an attempt, what it is with little out, how far it swings; what may
    // be out in all, and what is.
    double typical, ease, swing = 0, reach = 1;
    int out_all = 0;

    Beliefs(Gateway& g, const Settings& settings, std::uint64_t seed, Time at)
        : Readings(settings), gateway(g), chance(static_cast<std::uint32_t>(seed)), now(at), started(at) {
        goal = static_cast<double>(route_classes[0].goal);
        kept = 4 * warm_after;
        connection_kept = idle_close * 3 / 4;
        for (const QuotaPlan& p : plans) {
            const Time refill = p.ceiling_rate > 0 ? whole(p.ceiling_burst / p.ceiling_rate) : 0;
            kept = std::max({kept, 4 * window_of(p), refill});
        }
        beat_every = std::max(step, route_classes[0].goal / 50);
        beat_at = now;
        typical = ease = goal / 6;
        arm(beat_every, beat);
    }

    double since(Time moment) const { return static_cast<double>(now - moment); }
    double draw() { return std::uniform_real_distribution<>()(chance); }
    Time jittered(Time about) {
        return about / 2 + std::uniform_int_distribution<Time>(0, std::max<Time>(1, about))(chance);
    }
    static void move(double& belief, double seen, double part) { belief += (seen - belief) / part; }
    void arm(Time from_now, Alarm alarm, std::uint64_t id = 0) {
        gateway.start_timer(from_now, id << 3 | alarm);
    }
    // Where alarms can be taken back, one that has lost its use wakes nobody; it does nothing elsewhere.
    void disarm(Alarm alarm, std::uint64_t id) { gateway.cancel_timer(id << 3 | alarm); }
    void count(Decision decision) { ++decided[static_cast<std::size_t>(decision)]; }

    Time window_of(const QuotaPlan& p) const {
        return p.rate > 0 ? std::max<Time>(step, whole(p.burst / p.rate)) : 0;
    }
    Tenant& tenant_of(const Request& r) { return tenants.at(r.tenant); }
    // The request with this id, unless it has had its final answer.
    Request* open_one(std::uint32_t id) {
        const auto found = requests.find(id);
        return found == requests.end() || found->second.stage == Stage::over ? nullptr : &found->second;
    }
    Time needed(const Request& r) const { return std::min(whole(typical + swing), r.route->goal / 2); }
};

}  // namespace dewweir::policy
