#include "gateway/endpoints.h"

#include <algorithm>

namespace dewweir::gateway {

std::string EndpointTable::region_of(const std::string& zone) const {
    const auto found = locality_.region_of_zone.find(zone);
    return found == locality_.region_of_zone.end() ? std::string() : found->second;
}

Distance EndpointTable::distance_to(const std::string& zone, const std::string& region) const {
    if (zone == locality_.zone) return Distance::same_zone;
    return region == locality_.region ? Distance::same_region : Distance::other_region;
}

const Endpoint* EndpointTable::find(EndpointId id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<EndpointId> EndpointTable::remove_missing(const distribution::View& view) {
    std::vector<EndpointId> gone;
    for (auto at = by_instance_.begin(); at != by_instance_.end();) {
        if (view.instances().contains(at->first)) {
            ++at;
            continue;
        }
        gone.push_back(at->second);
        endpoints_.erase(at->second);
        at = by_instance_.erase(at);
    }
    return gone;
}

EndpointChanges EndpointTable::update(const distribution::View& view, runtime::Time now) {
    EndpointChanges changes;
    changes.gone = remove_missing(view);
    for (const auto& [id, instance] : view.instances()) {
        const auto [at, fresh] = by_instance_.try_emplace(id, last_ + 1);
        if (fresh) ++last_;
        Endpoint& endpoint = endpoints_[at->second];
        const bool was_usable = endpoint.usable;
        const bool was_warm = endpoint.cold_until <= now;
        const bool cold_again = fresh || endpoint.instance.cold_left_ms != instance.cold_left_ms;
        if (cold_again) endpoint.cold_until = now + instance.cold_left_ms * runtime::tenths_per_millisecond;
        endpoint.id = at->second;
        endpoint.instance = instance;
        endpoint.region = region_of(instance.zone);
        endpoint.distance = distance_to(instance.zone, endpoint.region);
        const bool evacuated = view.evacuated(instance.zone);
        // It may have turned cold shortly before its zone was taken back; the list does not say so yet.
        const bool taken_back = endpoint.evacuated && !evacuated;
        if (taken_back) endpoint.cold_until = std::max(endpoint.cold_until, now + list_lag_);
        endpoint.evacuated = evacuated;
        endpoint.usable = instance.state == wire::InstanceState::ready && !evacuated;
        const bool turned_cold = was_warm && endpoint.cold_until > now;
        if (was_usable && (!endpoint.usable || turned_cold)) changes.restricted.push_back(endpoint.id);
    }
    return changes;
}

}  // namespace dewweir::gateway
