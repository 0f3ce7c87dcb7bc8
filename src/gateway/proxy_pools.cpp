// The proxy's pools: made from the configuration in force, kept in step with the endpoints and the members.
#include <algorithm>
#include <random>

#include "gateway/proxy.h"
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
    return std::any_of(route.backends.begin(), route.backends.end(),
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
        refresh_pools();
    }
    if (changes.instances || changes.evacuations) {
        for (const EndpointId gone : endpoints_.update(view, loop_.now())) upstreams_.remove(gone);
    }
    if (changes.instances || changes.evacuations || changes.members) refresh_endpoints();
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
    settings.count_limit = count_limit_;
    const configuration::Configuration& configuration = table_->configuration();
    for (const configuration::Route& route : configuration.routes) {
        if (!goes_to(route, key.service)) continue;
        settings.kinds.push_back({route.route_class, route.target_latency});
        settings.max_tries = std::max(settings.max_tries, route.max_tries);
    }
    settings.quotas.push_back({});
    for (const configuration::Tenant& tenant : configuration.tenants) {
        if (tenant.has_quota()) settings.quotas.push_back({tenant.rate_per_s, tenant.burst});
    }
    sort_unique(settings.kinds);
    sort_unique(settings.quotas);
    return settings;
}

Proxy::PoolEntry& Proxy::pool_for(const PoolKey& key) {
    const auto found = pools_.find(key);
    if (found != pools_.end()) return pool_entries_.at(found->second);
    PoolUser& user = *this;
    auto pool = std::make_unique<ServicePool>(loop_, user, key, settings_for(key), std::random_device{}());
    pool->update(endpoints_, {});
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
    std::erase_if(pool_entries_, [](const auto& item) { return item.second.retired && item.second.requests == 0; });
}

void Proxy::refresh_endpoints() {
    if (!table_) return;
    const std::size_t gateways = static_cast<std::size_t>(gateways_nearby());
    for (const auto& [id, endpoint] : endpoints_.all()) {
        const auto address = transport::parse_tcp_endpoint(endpoint.instance.address);
        if (!address) continue;
        upstreams_.add(id, *address, most_connections(table_->configuration(), endpoint.instance.service, gateways));
    }
    for (auto& [pool, entry] : pool_entries_) pool->update(endpoints_, {});
}

}  // namespace dewweir::gateway
