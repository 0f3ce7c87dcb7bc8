#include "control_plane/process.h"

#include <algorithm>
#include <random>

#include "control/instance_poller.h"
#include "control_plane/fixed_leader_log.h"
#include "control_plane/fleet_server.h"
#include "control_plane/operator_api.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {
namespace {

constexpr std::size_t most_call_bytes = 32u << 20;
constexpr std::size_t reserved_descriptors = 250;
constexpr runtime::Time poll_interval = 700 * runtime::tenths_per_millisecond;
constexpr int exit_cannot_listen = 1;

settings::Endpoint internal_endpoint(const settings::Settings& settings, std::uint32_t ip) {
    return {ip, settings.network.ephemeral_ports.first};
}

wire::Member describe_self(const settings::Settings& settings) {
    wire::Member self;
    self.node = settings.self.node;
    self.life = std::random_device{}();
    self.role = wire::Role::control_plane;
    self.zone = settings.self.zone;
    self.region = settings.self.region;
    self.internal = to_string(internal_endpoint(settings, settings.self.ip));
    if (settings.network.bind.control) self.control = to_string(*settings.network.bind.control);
    return self;
}

std::string lowest_seed(const settings::Settings& settings) {
    std::uint32_t lowest = settings.self.ip;
    for (const settings::Endpoint& seed : settings.network.seed_nodes) lowest = std::min(lowest, seed.ip);
    return to_string(internal_endpoint(settings, lowest));
}

class Process : LogUser {
  public:
    explicit Process(const settings::Settings& settings)
        : settings_(settings),
          loop_(settings.self.limits.max_fds - reserved_descriptors),
          sessions_(loop_),
          self_(describe_self(settings)),
          log_(*this, self_.internal, lowest_seed(settings)),
          fleet_(loop_, sessions_, self_, log_),
          server_(loop_, most_call_bytes),
          api_(server_, log_, fleet_),
          poller_(loop_, transport::tcp_endpoint(settings.substrate.cloud_api.address),
                  [this](const control::Instances& instances) { fleet_.instances_read(instances); }) {}

    int run() {
        if (!listen()) return exit_cannot_listen;
        loop_.on_signals([this] { loop_.stop(); }, [] {});
        leadership_changed();
        logging::log(logging::Level::info, logging::Event::started, {});
        loop_.run();
        return 0;
    }

  private:
    bool listen() {
        const auto internal = internal_endpoint(settings_, settings_.self.ip);
        std::optional<std::string> fault = fleet_.listen(transport::tcp_endpoint(internal));
        if (!fault && settings_.network.bind.control) {
            fault = server_.listen(transport::tcp_endpoint(*settings_.network.bind.control));
        }
        if (!fault) return true;
        logging::log(logging::Level::error, logging::Event::address_unavailable,
                     {{"reason", std::string_view(*fault)}});
        return false;
    }

    void state_changed() override {
        fleet_.publish_state();
        logging::log(logging::Level::info, logging::Event::configuration_accepted,
                     {{"version", static_cast<std::int64_t>(log_.state().configuration().version)}});
    }

    void leadership_changed() override {
        fleet_.leadership_changed();
        if (log_.leads()) {
            poller_.start(poll_interval);
        } else {
            poller_.stop();
        }
    }

    const settings::Settings settings_;
    runtime::EventLoop loop_;
    transport::Sessions sessions_;
    wire::Member self_;
    FixedLeaderLog log_;
    FleetServer fleet_;
    api::Server server_;
    OperatorApi api_;
    control::InstancePoller poller_;
};

}  // namespace

int run(const settings::Settings& settings) { return Process(settings).run(); }

}  // namespace dewweir::control_plane
