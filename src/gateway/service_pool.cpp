#include "gateway/service_pool.h"

#include <algorithm>

#include "logging/log.h"

namespace dewweir::gateway {
namespace {

// Resolution of the decision module's timers, in milliseconds.
constexpr int decision_step_ms = 10;
// Attempts in flight at a host that has not answered yet, by all gateways of the zone together, for each of
// its slots. More than 1: a few of them queue at the host.
constexpr double initial_attempts_per_slot = 1.5;
// Cost of a host in another zone of this region, and of one in another region, relative to one in this zone.
constexpr double next_zone_weight = 3;
constexpr double other_region_weight = 12;

// The settings that the decision module reads, by its names.
Settings decision_settings(const PoolSettings& settings) {
    Settings values;
    const auto put = [&](const std::string& name, auto value) { values[name] = std::to_string(value); };
    put("step", decision_step_ms);
    put("gateways", settings.gateways_in_zone);
    put("zone", static_cast<int>(Distance::same_zone));
    if (settings.capacity > 0) put("limits.first_places", initial_attempts_per_slot * settings.capacity);
    put("limits.next_zone", next_zone_weight);
    put("limits.other_zone", other_region_weight);
    values["limits.cancel"] = "false";
    values["limits.advice"] = "true";
    put("limits.longest_advice", 10000);
    values["service.counter"] = "false";
    put("rules.fall", 1000);
    put("rules.fall_multiple", 1);
    put("rules.cold_from", 1);
    put("rules.warm_after", 1);
    put("tracks.count", settings.kinds.size());
    for (std::size_t n = 0; n < settings.kinds.size(); ++n) {
        const std::string prefix = "tracks." + std::to_string(n) + ".";
        const bool idempotent = settings.kinds[n].route_class == configuration::RouteClass::idempotent;
        values[prefix + "repeats"] = idempotent ? "retriable" : "binding";
        put(prefix + "latency_goal", settings.kinds[n].target_latency.count());
        put(prefix + "executions", settings.kinds[n].max_tries);
        put(prefix + "remembered", 0);
    }
    put("plans.count", 1);  // one plan: quotas are checked before a request comes here
    return values;
}

template <class Value> int index_of(const std::vector<Value>& sorted, const Value& value) {
    const auto found = std::lower_bound(sorted.begin(), sorted.end(), value);
    return static_cast<int>(found - sorted.begin());
}

}  // namespace

RequestKind request_kind(const configuration::Route& route) {
    return {route.route_class, route.target_latency, route.max_tries};
}

ServicePool::ServicePool(runtime::EventLoop& loop, PoolActions& actions, PoolKey key, PoolSettings settings,
                         std::uint64_t seed)
    : loop_(loop), actions_(actions), key_(std::move(key)), settings_(std::move(settings)) {
    Gateway& gateway = *this;
    decisions_ = std::make_unique<Decisions>(gateway, decision_settings(settings_), seed, loop.now());
}

ServicePool::~ServicePool() {
    for (auto& [token, key] : timers_) loop_.deadlines().cancel(key);
}

bool ServicePool::contains(const Endpoint& endpoint) const {
    if (endpoint.instance.service != key_.service) return false;
    return key_.regions.empty() ||
           std::binary_search(key_.regions.begin(), key_.regions.end(), endpoint.region);
}

void ServicePool::list_endpoint(const Endpoint& endpoint, bool usable) {
    const auto distance = static_cast<int>(endpoint.distance);
    const HostState state = usable ? HostState::ready : HostState::draining;
    decisions_->host_listed(loop_.now(), endpoint.id, state, 0, distance, distance);
}

void ServicePool::update(const EndpointTable& endpoints, const std::set<EndpointId>& withheld) {
    decisions_->list_begins(loop_.now(), true);
    for (const auto& [id, endpoint] : endpoints.all()) {
        if (contains(endpoint)) list_endpoint(endpoint, endpoint.usable && !withheld.contains(id));
    }
    decisions_->list_ends(loop_.now());
}

void ServicePool::set_usable(const Endpoint& endpoint, bool usable) {
    if (!contains(endpoint)) return;
    decisions_->list_begins(loop_.now(), false);
    list_endpoint(endpoint, usable);
    decisions_->list_ends(loop_.now());
}

void ServicePool::submit(const PoolRequest& request) {
    const int kind = index_of(settings_.kinds, request.kind);
    decisions_->request_received(loop_.now(), request.id, kind, 0, 0, 1, 1, request.time_left);
}

void ServicePool::attempt_finished(RequestId request, EndpointId endpoint, PolicyOutcome outcome,
                                   runtime::Time took, bool request_done) {
    decisions_->attempt_ended(loop_.now(), request, 0, endpoint, outcome, took, request_done, 0);
}

void ServicePool::client_disconnected(RequestId request) {
    decisions_->client_disconnected(loop_.now(), request);
}

void ServicePool::start_attempt(std::uint32_t request, std::uint32_t host, Time give_up_after) {
    actions_.send_attempt(request, host, give_up_after);
}

void ServicePool::refuse(std::uint32_t request, Time retry_after) {
    actions_.refuse_request(request, retry_after);
}

void ServicePool::fail(std::uint32_t request) { actions_.fail_request(request); }

void ServicePool::cancel(std::uint32_t request, int) { actions_.cancel_attempt(request); }

void ServicePool::start_timer(Time from_now, std::uint64_t token) {
    const net::Deadlines::Key key = loop_.deadlines().after(from_now, [this, token] {
        timers_.erase(timers_.find(token));
        decisions_->timer_expired(loop_.now(), token);
    });
    timers_.emplace(token, key);
}

void ServicePool::cancel_timer(std::uint64_t token) {
    const auto found = timers_.find(token);
    if (found == timers_.end()) return;
    loop_.deadlines().cancel(found->second);
    timers_.erase(found);
}

void ServicePool::log(LogEvent what, std::uint32_t host, const std::string&) {
    using logging::Event;
    Event event = Event::breaker_opened;
    switch (what) {
        case LogEvent::breaker_open: event = Event::breaker_opened; break;
        case LogEvent::breaker_closed: event = Event::breaker_closed; break;
        case LogEvent::host_ejected: event = Event::endpoint_ejected; break;
        case LogEvent::host_restored: event = Event::endpoint_restored; break;
    }
    logging::log(
        logging::Level::info, event,
        {{"service", std::string_view(key_.service)}, {"endpoint", static_cast<std::int64_t>(host)}});
}

}  // namespace dewweir::gateway
