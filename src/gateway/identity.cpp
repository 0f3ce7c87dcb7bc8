#include "gateway/identity.h"

#include <random>

namespace dewweir::gateway {

settings::Endpoint internal_endpoint(const settings::Settings& settings) {
    return {settings.self.ip, settings.network.ephemeral_ports.first};
}

wire::Member describe_gateway(const settings::Settings& settings) {
    wire::Member self;
    self.node = settings.self.node;
    self.life = std::random_device{}();
    self.role = wire::Role::gateway;
    self.zone = settings.self.zone;
    self.region = settings.self.region;
    self.internal = to_string(internal_endpoint(settings));
    if (settings.network.bind.front) self.front = to_string(*settings.network.bind.front);
    return self;
}

quota::QuotaBound quota_bound(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    return {bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack};
}

}  // namespace dewweir::gateway
