#include "gateway/service_pool.h"

#include <algorithm>

#include "logging/log.h"

namespace dewweir::gateway {
namespace {

// The decision module's step: how exact its own alarms are, in milliseconds.
constexpr int decision_step_ms = 10;
// What a host in another zone of this region, and one in another region, weighs against one in this zone.
constexpr double next_zone_weight = 3;
constexpr double other_region_weight = 12;

// The decision module's settings, under the names it reads.
Terms terms_of(const PoolSettings& settings) {
    Terms terms;
    const auto put = [&](const std::string& name, auto value) { terms[name] = std::to_string(value); };
    put("step", decision_step_ms);
    put("gateways", settings.gateways_nearby);
    put("zone", static_cast<int>(Distance::same_zone));
    put("limits.executions", settings.max_tries);
    put("limits.next_zone", next_zone_weight);
    put("limits.other_zone", other_region_weight);
    terms["limits.cancel"] = "false";
    terms["limits.advice"] = "true";
    put("limits.longest_advice", 10000);
    terms["service.counter"] = "true";
    put("service.count_limit", settings.count_limit / runtime::tenths_per_millisecond);
    put("rules.fall", 1000);
    put("rules.fall_multiple", 1);
    put("rules.cold_from", 1);
    put("rules.warm_after", 1);
    put("tracks.count", settings.kinds.size());
    for (std::size_t n = 0; n < settings.kinds.size(); ++n) {
        const std::string at = "tracks." + std::to_string(n) + ".";
        const bool idempotent = settings.kinds[n].route_class == configuration::RouteClass::idempotent;
        terms[at + "repeats"] = idempotent ? "retriable" : "binding";
        put(at + "latency_goal", settings.kinds[n].target_latency.count());
        put(at + "remembered", 0);
    }
    put("plans.count", settings.quotas.size());
    for (std::size_t n = 0; n < settings.quotas.size(); ++n) {
        const std::string at = "plans." + std::to_string(n) + ".";
        put(at + "rate", settings.quotas[n].rate_per_s);
        put(at + "burst", settings.quotas[n].burst);
    }
    return terms;
}

template <class Value> int place_of(const std::vector<Value>& sorted, const Value& value) {
    const auto found = std::lower_bound(sorted.begin(), sorted.end(), value);
    return static_cast<int>(found - sorted.begin());
}

}  // namespace

ServicePool::ServicePool(runtime::EventLoop& loop, PoolUser& user, PoolKey key, PoolSettings settings,
                         std::uint64_t seed)
    : loop_(loop), user_(user), key_(std::move(key)), settings_(std::move(settings)) {
    Gateway& gateway = *this;
    choice_ = std::make_unique<Choice>(gateway, terms_of(settings_), seed, loop.now());
}

ServicePool::~ServicePool() {
    for (auto& [token, key] : alarms_) loop_.deadlines().drop(key);
}

void ServicePool::update(const EndpointTable& endpoints, const std::set<EndpointId>& withheld) {
    const runtime::Time now = loop_.now();
    choice_->list_begins(now, true);
    for (const auto& [id, endpoint] : endpoints.all()) {
        if (endpoint.instance.service != key_.service) continue;
        const bool home = key_.regions.empty() ||
                          std::binary_search(key_.regions.begin(), key_.regions.end(), endpoint.region);
        if (!home) continue;
        const bool ready = endpoint.usable && !withheld.contains(id);
        const auto distance = static_cast<int>(endpoint.distance);
        choice_->host_listed(now, id, ready ? Standing::ready : Standing::draining, 0, distance, distance);
    }
    choice_->list_ends(now);
}

void ServicePool::submit(const PoolRequest& request) {
    const int kind = place_of(settings_.kinds, request.kind);
    const int quota = place_of(settings_.quotas, request.quota);
    choice_->submitted(loop_.now(), request.id, kind, quota, request.tenant, 1, request.quota_parts,
                       request.time_left);
}

void ServicePool::attempt_over(RequestId request, EndpointId endpoint, Verdict verdict, runtime::Time took,
                               bool answered) {
    choice_->execution_ended(loop_.now(), request, 0, endpoint, verdict, took, answered, 0);
}

void ServicePool::client_left(RequestId request) { choice_->client_gone(loop_.now(), request); }

void ServicePool::counted(std::uint64_t name, Verdict verdict, double total, runtime::Time took) {
    choice_->counted(loop_.now(), name, verdict, total, took);
}

void ServicePool::execute(std::uint32_t submission, std::uint32_t host, Time give_up_after) {
    user_.send(submission, host, give_up_after);
}

void ServicePool::bounce(std::uint32_t submission, Time come_back_in) { user_.refuse(submission, come_back_in); }

void ServicePool::write_off(std::uint32_t submission) { user_.fail(submission); }

void ServicePool::cancel(std::uint32_t submission, int) { user_.cancel(submission); }

void ServicePool::count(std::uint64_t name, double amount, Time keep_for) {
    user_.count(*this, name, amount, keep_for / 2);
}

void ServicePool::arm(Time from_now, std::uint64_t token) {
    const net::Deadlines::Key key = loop_.deadlines().after(from_now, [this, token] {
        alarms_.erase(alarms_.find(token));
        choice_->timer(loop_.now(), token);
    });
    alarms_.emplace(token, key);
}

void ServicePool::disarm(std::uint64_t token) {
    const auto found = alarms_.find(token);
    if (found == alarms_.end()) return;
    loop_.deadlines().drop(found->second);
    alarms_.erase(found);
}

void ServicePool::log(Notice notice, std::uint32_t host, const std::string&) {
    using logging::Event;
    Event event = Event::breaker_opened;
    switch (notice) {
        case Notice::breaker_open: event = Event::breaker_opened; break;
        case Notice::breaker_closed: event = Event::breaker_closed; break;
        case Notice::host_shut: event = Event::endpoint_ejected; break;
        case Notice::host_back: event = Event::endpoint_restored; break;
    }
    logging::log(logging::Level::info, event,
                 {{"service", std::string_view(key_.service)}, {"endpoint", static_cast<std::int64_t>(host)}});
}

}  // namespace dewweir::gateway
