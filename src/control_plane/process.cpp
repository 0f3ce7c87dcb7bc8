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

constexpr std::size_t max_request_body_bytes = 32u << 20;
// Descriptors that connections may not use: store files, listening sockets and the like.
constexpr std::size_t reserved_file_descriptors = 250;
constexpr runtime::Time poll_interval = 700 * runtime::tenths_per_millisecond;
// Between the last accepted connection and the end of the process, for requests still under way.
constexpr runtime::Time final_reply_delay = 300 * runtime::tenths_per_millisecond;
constexpr runtime::Time leave_check_interval = 50 * runtime::tenths_per_millisecond;
// The process ends by itself this long before the `grace` period after SIGTERM runs out.
constexpr runtime::Time kill_margin = 800 * runtime::tenths_per_millisecond;
constexpr int exit_cannot_listen = 1;

std::vector<std::string> internal_seeds(const settings::Settings& settings) {
    std::vector<std::string> seeds;
    for (const settings::Endpoint& seed : settings.network.seed_nodes) {
        seeds.push_back(to_string(process::internal_endpoint(settings, seed.ip)));
    }
    return seeds;
}

// The same limit up to which gateways consider a control plane in sync.
runtime::Time max_staleness(const settings::Settings& settings) {
    const unsigned unresponsive = settings.invariants.fault_budget.machines + 1;
    return distribution::search_intervals(settings.invariants.bounds.config_apply, unresponsive)
        .max_staleness;
}

RaftLogOptions log_options(const settings::Settings& settings) {
    RaftLogOptions options;
    options.store_directory = settings.self.state_dir.value_or(".") + "/replica";
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

class Process : LogObserver {
  public:
    Process(const settings::Settings& settings, const std::string& path)
        : settings_(settings),
          loop_(settings.self.limits.max_fds - reserved_file_descriptors),
          sessions_(loop_),
          self_(process::describe_process(settings, wire::Role::control_plane)),
          links_(
              loop_, sessions_,
              [this](const consensus::Envelope& envelope) { log_.message_received(envelope); },
              [this](const consensus::Replica& replica) { log_.join_requested(replica); }),
          log_(loop_, links_, *this, log_options(settings)),
          fleet_(loop_, sessions_, self_, log_, max_staleness(settings)),
          server_(loop_, max_request_body_bytes),
          api_(server_, log_, fleet_),
          poller_(
              loop_, transport::tcp_endpoint(settings.substrate.cloud_api.address), poller_options(settings),
              [this](const control::InstanceReading& reading) { fleet_.instance_list_read(reading); },
              [this] { fleet_.instance_list_failed(); }),
          shutdown_timer_(loop_),
          watch_(loop_, path, [this](const settings::Settings& changed) { settings_changed(changed); }) {}

    int run() {
        if (!listen()) return exit_cannot_listen;
        fleet_.on_consensus(
            [this](const wire::ConsensusMessage& message) { links_.message_received(message); });
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
        std::optional<std::string> error = fleet_.listen(transport::tcp_endpoint(internal));
        if (!error) error = links_.bind(transport::udp_endpoint(internal));
        if (!error && settings_.network.bind.control) {
            error = server_.listen(transport::tcp_endpoint(*settings_.network.bind.control));
        }
        if (!error) return true;
        logging::log(logging::Level::error, logging::Event::address_unavailable,
                     {{"reason", std::string_view(*error)}});
        return false;
    }

    // Hands over leadership at once; callers repeat their requests at the new leader. The process ends when
    // the group no longer needs this replica, at the latest just before it would be killed. Until then it
    // keeps serving the operator API: it may be the only control plane that can.
    void terminate() {
        if (terminating_) return;
        terminating_ = true;
        logging::log(logging::Level::info, logging::Event::stopping, {});
        log_.start_leaving();
        const runtime::Time grace = runtime::tenths(settings_.invariants.bounds.grace);
        shutdown_deadline_ = loop_.now() + std::max<runtime::Time>(grace - kill_margin, 0);
        finish_when_replaced();
    }

    void finish_when_replaced() {
        if (!log_.may_leave() && loop_.now() < shutdown_deadline_) {
            shutdown_timer_.start(leave_check_interval, [this] { finish_when_replaced(); });
            return;
        }
        server_.stop_listening();
        shutdown_timer_.start(final_reply_delay, [this] { shut_down(); });
    }

    // Answers open requests with 503: whether their commands take effect is not known.
    void shut_down() {
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
        if (std::exchange(last_logged_version_, version) == version) return;
        logging::log(logging::Level::info, logging::Event::configuration_accepted,
                     {{"version", static_cast<std::int64_t>(version)}});
    }

    void leadership_changed() override {
        fleet_.leadership_changed();
        if (log_.is_leader()) {
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
    runtime::Timer shutdown_timer_;
    process::SettingsWatch watch_;
    bool terminating_ = false;
    runtime::Time shutdown_deadline_ = 0;
    std::uint32_t last_logged_version_ = 0;  // the configuration version last logged as accepted
};

}  // namespace

int run(const settings::Settings& settings, const std::string& path) { return Process(settings, path).run(); }

}  // namespace dewweir::control_plane
