#include "control_plane/process.h"

#include <algorithm>
#include <random>

#include "control/instance_poller.h"
#include "control_plane/fleet_server.h"
#include "control_plane/operator_api.h"
#include "control_plane/raft_log.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {
namespace {

constexpr std::size_t most_call_bytes = 32u << 20;
constexpr std::size_t reserved_descriptors = 250;
constexpr runtime::Time poll_interval = 700 * runtime::tenths_per_millisecond;
// After SIGTERM, for what is on its way.
constexpr runtime::Time end_delay = 300 * runtime::tenths_per_millisecond;
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

RaftLogOptions log_options(const settings::Settings& settings) {
    RaftLogOptions options;
    options.folder = settings.self.state_dir.value_or(".") + "/replica";
    options.address = to_string(internal_endpoint(settings, settings.self.ip));
    options.bootstrap = settings.self.bootstrap;
    for (const settings::Endpoint& seed : settings.network.seed_nodes) {
        options.seeds.push_back(to_string(internal_endpoint(settings, seed.ip)));
    }
    return options;
}

class Process : LogUser {
  public:
    explicit Process(const settings::Settings& settings)
        : settings_(settings),
          loop_(settings.self.limits.max_fds - reserved_descriptors),
          sessions_(loop_),
          self_(describe_self(settings)),
          links_(
              loop_, sessions_, [this](const consensus::Envelope& envelope) { log_.received(envelope); },
              [this](const consensus::Replica& replica) { log_.joining(replica); }),
          log_(loop_, links_, *this, log_options(settings)),
          fleet_(loop_, sessions_, self_, log_),
          server_(loop_, most_call_bytes),
          api_(server_, log_, fleet_),
          poller_(loop_, transport::tcp_endpoint(settings.substrate.cloud_api.address),
                  [this](const control::Instances& instances) { fleet_.instances_read(instances); }),
          end_(loop_) {}

    int run() {
        if (!listen()) return exit_cannot_listen;
        fleet_.on_consensus([this](const wire::ConsensusMessage& message) { links_.take(message); });
        loop_.on_signals([this] { terminate(); }, [] {});
        log_.start();
        logging::log(logging::Level::info, logging::Event::started, {});
        loop_.run();
        return 0;
    }

  private:
    bool listen() {
        const auto internal = internal_endpoint(settings_, settings_.self.ip);
        std::optional<std::string> fault = fleet_.listen(transport::tcp_endpoint(internal));
        if (!fault) fault = links_.bind(transport::udp_endpoint(internal));
        if (!fault && settings_.network.bind.control) {
            fault = server_.listen(transport::tcp_endpoint(*settings_.network.bind.control));
        }
        if (!fault) return true;
        logging::log(logging::Level::error, logging::Event::address_unavailable,
                     {{"reason", std::string_view(*fault)}});
        return false;
    }

    // Leadership goes to another at once; what was asked here is repeated there.
    void terminate() {
        logging::log(logging::Level::info, logging::Event::stopping, {});
        server_.stop_listening();
        log_.leave();
        end_.start(end_delay, [this] { loop_.stop(); });
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
    ConsensusLinks links_;
    RaftLog log_;
    FleetServer fleet_;
    api::Server server_;
    OperatorApi api_;
    control::InstancePoller poller_;
    runtime::Timer end_;
};

}  // namespace

int run(const settings::Settings& settings) { return Process(settings).run(); }

}  // namespace dewweir::control_plane
