// The proxy's pools: made from the configuration in force, kept in step with the endpoints and the members.
#include <algorithm>
#include <random>

#include "gateway/proxy.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

constexpr double connection_part = 0.8;
constexpr std::size_t least_connections = 2;

std::size_t most_connections(const configuration::Configuration& configuration, const std::string& service,
                             std::size_t gateways) {
    std::uint32_t accepted = 0;
    for (const configuration::Service& known : configuration.services) {
        if (known.name == service) accepted = known.max_conns;
    }
    if (accepted == 0) return 64;
    const auto part = static_cast<std::size_t>(connection_part * accepted / static_cast<double>(gateways));
    return std::max(least_connections, part);
}

bool goes_to(const configuration::Route& route, const std::string& service) {
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
    front_.set_limits(configuration->limits);
    table_ = std::make_shared<const configuration::RouteTable>(std::move(configuration));
    refresh_pools();
    refresh_endpoints();
}

void Proxy::view_changed(const distribution::View& view, const distribution::Changes& changes) {
    if (changes.members) {
        members_ = view.members();
        cold_.members_changed(members_);
        retry_budget_.gateways_changed(gateways_known());
        refresh_pools();
    }
    EndpointChanges endpoints;
    if (changes.instances || changes.evacuations) {
        endpoints = endpoints_.update(view, loop_.now());
        for (const EndpointId gone : endpoints.gone) {
            upstreams_.remove(gone);
            cold_.forget(gone);
            cold_reviews_.erase(gone);
        }
        refresh_pools();
    }
    if (changes.instances || changes.evacuations || changes.members) refresh_endpoints();
    withdraw_attempts(endpoints);
}

// After the pools know of the change: they decide anew at once.
void Proxy::withdraw_attempts(const EndpointChanges& changes) {
    std::size_t withdrawn = 0;
    for (const EndpointId id : changes.gone) withdrawn += upstreams_.withdraw(id);
    for (const EndpointId id : changes.restricted) withdrawn += upstreams_.withdraw(id);
    if (withdrawn == 0) return;
    logging::log(logging::Level::info, logging::Event::attempts_withdrawn,
                 {{"count", static_cast<std::int64_t>(withdrawn)}});
}

void Proxy::set_list_valid_until(runtime::Time moment) {
    list_valid_until_ = moment;
    if (list_valid()) return;
    for (const auto& [id, endpoint] : endpoints_.all()) upstreams_.withdraw(id);
}

std::size_t Proxy::gateways_known() const {
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& member) {
        return member.second.role == wire::Role::gateway;
    }));
}

int Proxy::gateways_nearby() const {
    const auto nearby = std::count_if(members_.begin(), members_.end(), [&](const auto& member) {
        return member.second.role == wire::Role::gateway && member.second.zone == locality_.zone;
    });
    return std::max(1, static_cast<int>(nearby));
}

PoolSettings Proxy::settings_for(const PoolKey& key) const {
    PoolSettings settings;
    settings.gateways_nearby = gateways_nearby();
    for (const auto& [id, endpoint] : endpoints_.all()) {
        if (endpoint.instance.service == key.service) {
            settings.capacity = std::max(settings.capacity, endpoint.instance.capacity);
        }
    }
    const configuration::Configuration& configuration = table_->configuration();
    for (const configuration::Route& route : configuration.routes) {
        if (!goes_to(route, key.service)) continue;
        settings.kinds.push_back({route.route_class, route.target_latency});
        settings.max_tries = std::max(settings.max_tries, route.max_tries);
    }
    sort_unique(settings.kinds);
    return settings;
}

Proxy::PoolEntry& Proxy::pool_for(const PoolKey& key) {
    const auto found = pools_.find(key);
    if (found != pools_.end()) return pool_entries_.at(found->second);
    PoolUser& user = *this;
    auto pool = std::make_unique<ServicePool>(loop_, user, key, settings_for(key), std::random_device{}());
    pool->update(endpoints_, withheld_endpoints());
    ServicePool* const made = pool.get();
    pools_[key] = made;
    PoolEntry& entry = pool_entries_[made];
    entry.pool = std::move(pool);
    return entry;
}

// A pool whose settings differ by now takes no more requests and goes with its last one.
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
    const std::size_t gateways = static_cast<std::size_t>(gateways_nearby());
    for (const auto& [id, endpoint] : endpoints_.all()) {
        const auto address = transport::parse_tcp_endpoint(endpoint.instance.address);
        if (!address) continue;
        upstreams_.add(id, *address,
                       most_connections(table_->configuration(), endpoint.instance.service, gateways));
    }
    const std::set<EndpointId> withheld = withheld_endpoints();
    for (auto& [pool, entry] : pool_entries_) pool->update(endpoints_, withheld);
}

// ---- cold endpoints ----

double Proxy::cold_rate_of(const std::string& service) const {
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
        const auto next = cold_.next(endpoint, cold_rate_of(endpoint.instance.service), now);
        if (!next || *next > now) withheld.insert(id);
        watch_cold(id);
    }
    return withheld;
}

bool Proxy::attempt_allowed(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    return endpoint && endpoint->usable && list_valid();
}

bool Proxy::admit(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    if (!endpoint || !attempt_allowed(id)) return false;
    if (!is_cold(*endpoint)) return true;
    const bool admitted = cold_.spend(*endpoint, cold_rate_of(endpoint->instance.service), loop_.now());
    loop_.post([this, id] { review_cold(id); });
    return admitted;
}

// Looks again when the endpoint may be sent the next request, or is warm.
void Proxy::watch_cold(EndpointId id) {
    const Endpoint* const endpoint = endpoints_.find(id);
    if (!endpoint) return;
    const runtime::Time now = loop_.now();
    const auto next = cold_.next(*endpoint, cold_rate_of(endpoint->instance.service), now);
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
        const auto next = cold_.next(*endpoint, cold_rate_of(endpoint->instance.service), now);
        usable = usable && next && *next <= now;
        watch_cold(id);
    } else {
        cold_.forget(id);
    }
    for (auto& [pool, entry] : pool_entries_) pool->set_usable(*endpoint, usable);
}

}  // namespace dewweir::gateway
