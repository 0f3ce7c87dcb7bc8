#include "process/identity.h"

#include <random>

namespace dewweir::process {

settings::Endpoint internal_endpoint(const settings::Settings& settings) {
    return internal_endpoint(settings, settings.self.ip);
}

settings::Endpoint internal_endpoint(const settings::Settings& settings, std::uint32_t ip) {
    return {ip, settings.network.ephemeral_ports.first};
}

wire::Member describe_process(const settings::Settings& settings, wire::Role role) {
    const settings::ListenAddresses& bind = settings.network.bind;
    wire::Member self;
    self.node = settings.self.node;
    self.life = std::random_device{}();
    self.role = role;
    self.zone = settings.self.zone;
    self.region = settings.self.region;
    self.internal = to_string(internal_endpoint(settings));
    if (bind.front) self.front = to_string(*bind.front);
    if (bind.control) self.control = to_string(*bind.control);
    return self;
}

}  // namespace dewweir::process
