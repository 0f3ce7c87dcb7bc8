#include "control_plane/process.h"

#include <algorithm>
#include <set>
#include <utility>

#include "control/instance_poller.h"
#include "control_plane/fleet_server.h"
#include "control_plane/operator_api.h"
#include "control_plane/raft_log.h"
#include "distribution/intervals.h"
#include "logging/log.h"
#include "process/identity.h"
#include "process/settings_watch.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {
namespace {

constexpr std::size_t most_call_bytes = 32u << 20;
constexpr std::size_t reserved_descriptors = 250;
constexpr runtime::Time poll_interval = 700 * runtime::tenths_per_millisecond;
// After SIGTERM, for what is on its way.
constexpr runtime::Time end_delay = 300 * runtime::tenths_per_millisecond;
constexpr runtime::Time end_check = 50 * runtime::tenths_per_millisecond;
// Before the end of `grace` the process must have ended by itself.
constexpr runtime::Time end_margin = 800 * runtime::tenths_per_millisecond;
constexpr int exit_cannot_listen = 1;

std::vector<std::string> internal_seeds(const settings::Settings& settings) {
    std::vector<std::string> seeds;
    for (const settings::Endpoint& seed : settings.network.seed_nodes) {
        seeds.push_back(to_string(process::internal_endpoint(settings, seed.ip)));
    }
    return seeds;
}

// As long as gateways take a view for one in step.
runtime::Time freshness_limit(const settings::Settings& settings) {
    const unsigned silent = settings.invariants.fault_budget.machines + 1;
    return distribution::search_intervals(settings.invariants.bounds.config_apply, silent).freshness_limit;
}

RaftLogOptions log_options(const settings::Settings& settings) {
    RaftLogOptions options;
    options.folder = settings.self.state_dir.value_or(".") + "/replica";
    options.address = to_string(process::internal_endpoint(settings));
    options.bootstrap = settings.self.bootstrap;
    options.seeds = internal_seeds(settings);
    return options;
}

std::set<std::string> zones_of(const settings::Settings& settings) {
    std::set<std::string> zones;
    for (const auto& [zone, region] : settings.network.zones) zones.insert(zone);
    return zones;
}

control::PollerOptions poller_options(const settings::Settings& settings) {
    return {zones_of(settings), poll_interval, settings.substrate.cloud_api.rate_per_s};
}

class Process : LogUser {
  public:
    Process(const settings::Settings& settings, const std::string& path)
        : settings_(settings),
          loop_(settings.self.limits.max_fds - reserved_descriptors),
          sessions_(loop_),
          self_(process::describe_process(settings, wire::Role::control_plane)),
          links_(
              loop_, sessions_, [this](const consensus::Envelope& envelope) { log_.received(envelope); },
              [this](const consensus::Replica& replica) { log_.joining(replica); }),
          log_(loop_, links_, *this, log_options(settings)),
          fleet_(loop_, sessions_, self_, log_, freshness_limit(settings)),
          server_(loop_, most_call_bytes),
          api_(server_, log_, fleet_),
          poller_(
              loop_, transport::tcp_endpoint(settings.substrate.cloud_api.address), poller_options(settings),
              [this](const control::InstanceReading& reading) { fleet_.instances_read(reading); },
              [this] { fleet_.instances_unread(); }),
          end_(loop_),
          watch_(loop_, path, [this](const settings::Settings& changed) { settings_changed(changed); }) {}

    int run() {
        if (!listen()) return exit_cannot_listen;
        fleet_.on_consensus([this](const wire::ConsensusMessage& message) { links_.take(message); });
        loop_.on_signals([this] { terminate(); }, [this] { watch_.reload(); });
        watch_.start();
        log_.start();
        logging::log(logging::Level::info, logging::Event::started, {});
        loop_.run();
        return 0;
    }

  private:
    bool listen() {
        const auto internal = process::internal_endpoint(settings_);
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

    // Leadership goes to another at once; what was asked here is repeated there. The process ends when the
    // group does without it, at the latest just before it would be killed. Until then it takes operators'
    // calls: it may be the only one that can.
    void terminate() {
        if (terminating_) return;
        terminating_ = true;
        logging::log(logging::Level::info, logging::Event::stopping, {});
        log_.leave();
        const runtime::Time grace = runtime::tenths(settings_.invariants.bounds.grace);
        end_at_ = loop_.now() + std::max<runtime::Time>(grace - end_margin, 0);
        end_if_possible();
    }

    void end_if_possible() {
        if (!log_.may_leave() && loop_.now() < end_at_) {
            end_.start(end_check, [this] { end_if_possible(); });
            return;
        }
        server_.stop_listening();
        end_.start(end_delay, [this] { end(); });
    }

    // Orders that are not settled by now may be in force or not: nothing is promised.
    void end() {
        server_.answer_open({api::Status::service_unavailable,
                             api::error_body("this control plane ends", "repeat the call at another one")});
        logging::log(logging::Level::info, logging::Event::stopped, {});
        loop_.stop();
    }

    void settings_changed(const settings::Settings& changed) {
        log_.set_seeds(internal_seeds(changed));
        poller_.set_zones(zones_of(changed));
    }

    void state_changed() override {
        fleet_.publish_state();
        const std::uint32_t version = log_.state().configuration().version;
        if (std::exchange(version_told_, version) == version) return;
        logging::log(logging::Level::info, logging::Event::configuration_accepted,
                     {{"version", static_cast<std::int64_t>(version)}});
    }

    void leadership_changed() override {
        fleet_.leadership_changed();
        if (log_.leads()) {
            poller_.start(fleet_.view().instances());
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
    process::SettingsWatch watch_;
    bool terminating_ = false;
    runtime::Time end_at_ = 0;
    std::uint32_t version_told_ = 0;  // of the configuration that the log has named last
};

}  // namespace

int run(const settings::Settings& settings, const std::string& path) { return Process(settings, path).run(); }

}  // namespace dewweir::control_plane
