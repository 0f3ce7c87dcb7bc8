// The proxy's pools: created from the configuration in force, and updated with the endpoints and members.
#include <algorithm>
#include <random>

#include "gateway/proxy.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

// Fraction of the connections that a host accepts that all gateways of a zone together use.
constexpr double connection_limit_fraction = 0.8;
// Connections to one host that each gateway may open in any case.
constexpr std::size_t min_connections = 2;
// For a service whose configuration states no limit.
constexpr std::size_t default_max_connections = 64;

// Most connections that this gateway opens to one host of the service.
std::size_t connection_limit(const configuration::Configuration& configuration, const std::string& service,
                             std::size_t gateways) {
    std::uint32_t accepted = 0;
    for (const configuration::Service& known : configuration.services) {
        if (known.name == service) accepted = known.max_conns;
    }
    if (accepted == 0) return default_max_connections;
    const auto share =
        static_cast<std::size_t>(connection_limit_fraction * accepted / static_cast<double>(gateways));
    return std::max(min_connections, share);
}

bool routes_to(const configuration::Route& route, const std::string& service) {
    return std::any_of(
        route.backends.begin(), route.backends.end(),
        [&](const configuration::WeightedBackend& backend) { return backend.service == service; });
}

template <class Value> void sort_unique(std::vector<Value>& values) {
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

}  // namespace

void Proxy::configure(std::shared_ptr<const configuration::Configuration> configuration) {
    front_end_.set_limits(configuration->limits);
    table_ = std::make_shared<const configuration::RouteTable>(std::move(configuration));
    refresh_pools();
    refresh_endpoints();
}

void Proxy::view_changed(const distribution::View& view, const distribution::Changes& changes) {
    if (changes.members) {
        members_ = view.members();
        cold_.members_changed(members_);
        retry_budget_.gateways_changed(known_gateways());
        refresh_pools();
    }
    EndpointChanges endpoints;
    if (changes.instances || changes.evacuations) {
        endpoints = endpoints_.update(view, loop_.now());
        for (const EndpointId removed : endpoints.removed) {
            upstreams_.remove(removed);
            cold_.remove(removed);
            cold_reviews_.erase(removed);
        }
        refresh_pools();
    }
    if (changes.instances || changes.evacuations || changes.members) refresh_endpoints();
    withdraw_attempts(endpoints);
}

// Called after the pools have been updated, since they decide on the withdrawn requests again at once.
void Proxy::withdraw_attempts(const EndpointChanges& changes) {
    std::size_t withdrawn = 0;
    for (const EndpointId id : changes.removed) withdrawn += upstreams_.withdraw_connecting(id);
    for (const EndpointId id : changes.restricted) withdrawn += upstreams_.withdraw_connecting(id);
    if (withdrawn == 0) return;
    logging::log(logging::Level::info, logging::Event::attempts_withdrawn,
                 {{"count", static_cast<std::int64_t>(withdrawn)}});
}

void Proxy::set_list_valid_until(runtime::Time moment) {
    list_valid_until_ = moment;
    if (list_valid()) return;
    for (const auto& [id, endpoint] : endpoints_.all()) upstreams_.withdraw_connecting(id);
}

std::size_t Proxy::known_gateways() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& member) {
        return member.second.role == wire::Role::gateway;
    }));
}

int Proxy::gateways_in_zone() const {
    const auto nearby = std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
        return member.second.role == wire::Role::gateway && member.second.zone == locality_.zone;
    });
    return std::max(1, static_cast<int>(nearby));
}

PoolSettings Proxy::settings_for(const PoolKey& key) const {
    PoolSettings settings;
    settings.gateways_in_zone = gateways_in_zone();
    for (const auto& [id, endpoint] : endpoints_.all()) {
        if (endpoint.instance.service == key.service) {
            settings.capacity = std::max(settings.capacity, endpoint.instance.capacity);
        }
    }
    const configuration::Configuration& configuration = table_->configuration();
    for (const configuration::Route& route : configuration.routes) {
        if (!routes_to(route, key.service)) continue;
        settings.kinds.push_back(request_kind(route));
    }
    sort_unique(settings.kinds);
    return settings;
}

Proxy::PoolEntry& Proxy::pool_for(const PoolKey& key) {
    const auto found = pools_.find(key);
    if (found != pools_.end()) return pool_entries_.at(found->second);
    PoolActions& actions = *this;
    auto pool = std::make_unique<ServicePool>(loop_, actions, key, settings_for(key), std::random_device{}());
    pool->update(endpoints_, withheld_endpoints());
    ServicePool* const created = pool.get();
    pools_[key] = created;
    PoolEntry& entry = pool_entries_[created];
    entry.pool = std::move(pool);
    return entry;
}

// Retires the pools whose settings have changed; they are removed with their last request.
void Proxy::refresh_pools() {
    if (!table_) return;
    for (auto at = pools_.begin(); at != pools_.end();) {
        const bool same = settings_for(at->first) == at->second->settings();
        if (same) {
            ++at;
            continue;
        }
        pool_entries_.at(at->second).retired = true;
        at = pools_.erase(at);
    }
    loop_.post([this] { drop_retired(); });
}

void Proxy::drop_retired() {
    std::erase_if(pool_entries_,
                  [](const auto& item) { return item.second.retired && item.second.requests == 0; });
}

void Proxy::refresh_endpoints() {
    if (!table_) return;
    const std::size_t gateways = static_cast<std::size_t>(gateways_in_zone());
    for (const auto& [id, endpoint] : endpoints_.all()) {
        const auto address = transport::parse_tcp_endpoint(endpoint.instance.address);
        if (!address) continue;
        upstreams_.add(id, *address,
                       connection_limit(table_->configuration(), endpoint.instance.service, gateways));
    }
    const std::set<EndpointId> withheld = withheld_endpoints();
    for (auto& [pool, entry] : pool_entries_) pool->update(endpoints_, withheld);
}

// ---- cold endpoints ----

double Proxy::cold_rate_for(const std::string& service) const {
    for (const configuration::Service& known : table_->configuration().services) {
        if (known.name == service) return known.cold_per_s.value_or(0);
    }
    return 0;
}

std::set<EndpointId> Proxy::withheld_endpoints() {
    std::set<EndpointId> withheld;
    const runtime::Time now = loop_.now();
    for (const auto& [id, endpoint] : endpoints_.all()) {
        if (!is_cold(endpoint)) continue;
        const auto next = cold_.next_allowed_at(endpoint, cold_rate_for(endpoint.instance.service), now);
        if (!next || *next > now) withheld.insert(id);
        schedule_cold_review(id);
    }
    return withheld;
}

bool Proxy::may_send_to(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    return endpoint && endpoint->usable && list_valid();
}

bool Proxy::admit(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    if (!endpoint || !may_send_to(id)) return false;
    if (!is_cold(*endpoint)) return true;
    const bool admitted = cold_.try_spend(*endpoint, cold_rate_for(endpoint->instance.service), loop_.now());
    loop_.post([this, id] { review_cold(id); });
    return admitted;
}

// Schedules a review for when the endpoint may be sent the next request or stops being cold.
void Proxy::schedule_cold_review(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    if (!endpoint) return;
    const runtime::Time now = loop_.now();
    const auto next = cold_.next_allowed_at(*endpoint, cold_rate_for(endpoint->instance.service), now);
    runtime::Time at = endpoint->cold_until;
    if (next && *next > now) at = std::min(at, *next);
    std::unique_ptr<runtime::Timer>& timer = cold_reviews_[id];
    if (!timer) timer = std::make_unique<runtime::Timer>(loop_);
    timer->start(std::max<runtime::Time>(1, at - now), [this, id] { review_cold(id); });
}

void Proxy::review_cold(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    if (!endpoint) return;
    const runtime::Time now = loop_.now();
    bool usable = endpoint->usable;
    if (is_cold(*endpoint)) {
        const auto next = cold_.next_allowed_at(*endpoint, cold_rate_for(endpoint->instance.service), now);
        usable = usable && next && *next <= now;
        schedule_cold_review(id);
    } else {
        cold_.remove(id);
    }
    for (auto& [pool, entry] : pool_entries_) pool->set_usable(*endpoint, usable);
}

}  // namespace dewweir::gateway
