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
    std::vector<EndpointId> removed;
    for (auto at = by_instance_.begin(); at != by_instance_.end();) {
        if (view.instances().contains(at->first)) {
            ++at;
            continue;
        }
        removed.push_back(at->second);
        endpoints_.erase(at->second);
        at = by_instance_.erase(at);
    }
    return removed;
}

EndpointChanges EndpointTable::update(const distribution::View& view, runtime::Time now) {
    EndpointChanges changes;
    changes.removed = remove_missing(view);
    for (const auto& [id, instance] : view.instances()) {
        const auto [at, inserted] = by_instance_.try_emplace(id, last_id_ + 1);
        if (inserted) ++last_id_;
        Endpoint& endpoint = endpoints_[at->second];
        const bool was_usable = endpoint.usable;
        const bool was_warm = endpoint.cold_until <= now;
        const bool cold_again = inserted || endpoint.instance.cold_left_ms != instance.cold_left_ms;
        if (cold_again) endpoint.cold_until = now + instance.cold_left_ms * runtime::tenths_per_millisecond;
        endpoint.id = at->second;
        endpoint.instance = instance;
        endpoint.region = region_of(instance.zone);
        endpoint.distance = distance_to(instance.zone, endpoint.region);
        const bool evacuated = view.evacuated(instance.zone);
        // The instance may have restarted, and be cold, shortly before the evacuation ended; the list may not
        // show that yet.
        const bool evacuation_ended = endpoint.evacuated && !evacuated;
        if (evacuation_ended) endpoint.cold_until = std::max(endpoint.cold_until, now + list_lag_);
        endpoint.evacuated = evacuated;
        endpoint.usable = instance.state == wire::InstanceState::ready && !evacuated;
        const bool turned_cold = was_warm && endpoint.cold_until > now;
        if (was_usable && (!endpoint.usable || turned_cold)) changes.restricted.push_back(endpoint.id);
    }
    return changes;
}

}  // namespace dewweir::gateway
