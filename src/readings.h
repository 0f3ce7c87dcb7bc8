// The settings of the decision module as checked values: read once at the start, never changed afterwards.
// What follows from them is decided under src/policy.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir {

// A class of requests with a common latency goal and retry rule.
struct RouteClass {
    // Time from a request's arrival within which an answer is in goal.
    Time latency_goal;
    // For how long hosts recognise a repeated request; for idempotency "fingerprinted".
    Time dedup_window;
    // "retriable": may run any number of times. "fingerprinted": hosts recognise a repeat within
    // `dedup_scope` and `dedup_window`. "binding": must not be sent again once it may have run.
    std::string idempotency;
    // Where hosts recognise a repeat: "all", or hosts of the same "zone" or "cell".
    std::string dedup_scope;
    // Most attempts for one request, the first included.
    int max_attempts;
};

// Amounts are units, rates units per tenth of a millisecond; 0 means that there is no such limit.
struct QuotaPlan {
    // Token bucket of the quota, for all gateways together.
    double rate;
    double burst;
    // Worth of a unit served beyond the quota, and its cost: requests beyond the quota are sent only where
    // the former is more.
    double extra_benefit;
    double overrun_cost;
    // Token bucket that must never be exceeded, for all gateways together.
    double ceiling_rate;
    double ceiling_burst;
    // Requests of a tenant in the queue or in flight at a time, for all gateways together.
    double max_open;
};

struct Readings {
    // Throws errors::BadSetting that names the missing or unreadable setting.
    explicit Readings(const Settings& settings);

    // Resolution of the timers, 1 at least.
    Time timer_step;
    // How long a call to the quota counter may take.
    Time counter_timeout;
    // Slow start: within any window of this length, a cold host receives at most `slow_start_factor` times
    // its fraction of what a warm host receives, from all gateways together. The fraction grows linearly from
    // `slow_start_from` at its start to 1 after `warm_after`.
    Time slow_start_window;
    Time warm_after;
    // Longest Retry-After advice; 0: none is given.
    Time max_retry_after;
    // After this time hosts close an idle connection; 0: unknown.
    Time idle_timeout;
    // Within this time of its start or of the end of a watch a gateway must have asked for the host list,
    // within four times that once a request has failed. Requests are delayed at random within up to half of
    // it: gateways start, or lose their watch, at the same moment; the list is served call by call, and a
    // call that waited too long costs its turn and gets no answer. The span grows with the fleet and doubles
    // with each failure. Where updates come by themselves the list must be asked for at once.
    std::optional<Time> list_request_limit;
    // Number of gateways of the fleet, 1 at least.
    int fleet_size;
    // This gateway's zone.
    int zone;
    double slow_start_from;
    double slow_start_factor;
    // Concurrency limit of a host that is new, over all gateways.
    double initial_concurrency;
    // Factor on the cost of a host in the zone numbered next after this one, and in other zones; 1 is local.
    double next_zone_penalty;
    double other_zone_penalty;
    // Whether attempts can be cancelled.
    bool may_cancel;
    // Whether there is a quota counter.
    bool has_counter;
    // Whether a gateway must ask for the host list; otherwise its updates come by themselves.
    bool asks_for_list;
    // One at least.
    std::vector<RouteClass> route_classes;
    std::vector<QuotaPlan> plans;
};

}  // namespace dewweir
