#include "gateway/process.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <set>

#include "api/server.h"
#include "configuration/parser.h"
#include "gateway/control_session.h"
#include "gateway/directory.h"
#include "gateway/identity.h"
#include "gateway/proxy.h"
#include "gateway/shutdown.h"
#include "logging/log.h"
#include "process/identity.h"
#include "process/settings_watch.h"
#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

using logging::Event;
using logging::Level;

// Most bytes of a request to the readiness and directory servers.
constexpr std::size_t max_call_bytes = 16u << 10;
// File descriptors that the event loop's connections leave free.
constexpr std::size_t reserved_descriptors = 250;
constexpr int exit_cannot_listen = 1;
// Delay from the platform's list to this gateway: the control plane's polling interval and the transit, with
// a margin.
constexpr runtime::Time list_propagation_limit = 1500 * runtime::tenths_per_millisecond;
// How often the state of the shutdown is advanced.
constexpr runtime::Time shutdown_check_interval = 50 * runtime::tenths_per_millisecond;
// How long clients may use a directory answer.
constexpr std::string_view directory_ttl = "2s";

Proxy::Options proxy_options(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    Proxy::Options options;
    options.node = settings.self.node;
    options.locality = {settings.self.zone, settings.self.region, settings.network.zones};
    options.cold_bound = {bounds.cold_overshoot, bounds.cold_slack};
    options.retry_bound = retry_bound(settings);
    options.list_lag = runtime::tenths(settings.substrate.cloud_api.max_lag) + list_propagation_limit;
    return options;
}

std::string resolve_body(const std::vector<std::string>& addresses) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("addresses");
    writer.StartArray();
    for (const std::string& address : addresses) writer.String(address.c_str());
    writer.EndArray();
    writer.Key("ttl");
    writer.String(directory_ttl.data(), static_cast<rapidjson::SizeType>(directory_ttl.size()));
    writer.EndObject();
    return buffer.GetString();
}

std::set<std::string> regions_of(const settings::Settings& settings) {
    std::set<std::string> regions;
    for (const auto& [zone, region] : settings.network.zones) regions.insert(region);
    return regions;
}

// Milliseconds for a log line; -1 for an unknown time.
std::int64_t milliseconds(std::optional<runtime::Time> time) {
    return time ? static_cast<std::int64_t>(*time / runtime::tenths_per_millisecond) : -1;
}

class Process {
  public:
    Process(const settings::Settings& settings, const std::string& path)
        : settings_(settings),
          loop_(settings.self.limits.max_fds - reserved_descriptors),
          sessions_(loop_),
          control_(
              loop_, sessions_, settings, process::describe_process(settings, wire::Role::gateway),
              [this](const distribution::Changes& changes) { view_changed(changes); },
              [this](const ListLease& lease) { lease_changed(lease); },
              [this](runtime::Time moment) { return quotas_.answered_since(moment); }),
          quotas_(loop_, settings.self.node, quota_bound(settings)),
          proxy_(loop_, quotas_, proxy_options(settings)),
          readiness_(loop_, max_call_bytes),
          directory_(loop_, max_call_bytes),
          shutdown_(runtime::tenths(settings.invariants.bounds.grace)),
          shutdown_check_(loop_),
          regions_(regions_of(settings)),
          watch_(loop_, path, [this](const settings::Settings& changed) { settings_changed(changed); }) {
        proxy_.set_list_valid_until(control_.lease().valid_until());
        declare_calls();
    }

    int run() {
        if (!listen()) return exit_cannot_listen;
        loop_.on_signals([this] { terminate(); }, [this] { watch_.reload(); });
        watch_.start();
        control_.start();
        logging::log(Level::info, Event::started, {});
        loop_.run();
        return 0;
    }

  private:
    void declare_calls() {
        readiness_.declare("GET", "/v1/ready", [this](const api::Request&, const api::Respond& respond) {
            respond({ready() ? api::Status::ok : api::Status::service_unavailable});
        });
        directory_.declare("GET", "/v1/resolve",
                           [this](const api::Request& request, const api::Respond& respond) {
                               resolve_gateways(request, respond);
                           });
    }

    void resolve_gateways(const api::Request& request, const api::Respond& respond) {
        const auto field = [&](std::string_view name) {
            return api::query_field(request.query, name).value_or("");
        };
        const ResolveQuery query{field("name"), field("region"), field("zone")};
        const Resolution resolution =
            resolve(control_.view().members(), control_.self(), query, proxy_.route_table());
        log_region_coverage(query.region, resolution);
        if (resolution.addresses.empty()) return respond({api::Status::service_unavailable});
        respond({api::Status::ok, resolve_body(resolution.addresses)});
    }

    // Logs when clients of a region start to be directed to other regions, and when that ends.
    void log_region_coverage(const std::string& region, const Resolution& resolution) {
        if (control_.view().members().empty()) return;  // just started: no view has been received yet
        if (!regions_.contains(region)) return;         // clients may send any name
        const bool without_gateways = resolution.proximity > Proximity::region;
        const bool changed = without_gateways ? regions_without_gateways_.insert(region).second
                                              : regions_without_gateways_.erase(region) > 0;
        if (!changed) return;
        logging::log(without_gateways ? Level::warning : Level::info,
                     without_gateways ? Event::region_without_gateways : Event::region_with_gateways,
                     {{"region", std::string_view(region)},
                      {"named", static_cast<std::int64_t>(resolution.addresses.size())},
                      {"members", static_cast<std::int64_t>(control_.view().members().size())}});
    }

    std::optional<std::string> listen_all() {
        const settings::ListenAddresses& bind = settings_.network.bind;
        std::optional<std::string> error =
            quotas_.bind(transport::udp_endpoint(process::internal_endpoint(settings_)));
        if (!error && bind.front) error = proxy_.front_end().listen(transport::tcp_endpoint(*bind.front));
        if (!error && bind.readiness) error = readiness_.listen(transport::tcp_endpoint(*bind.readiness));
        if (!error && bind.directory) error = directory_.listen(transport::tcp_endpoint(*bind.directory));
        return error;
    }

    bool listen() {
        const std::optional<std::string> error = listen_all();
        if (!error) return true;
        logging::log(Level::error, Event::address_unavailable, {{"reason", std::string_view(*error)}});
        return false;
    }

    bool ready() const { return proxy_.has_configuration() && !shutdown_.started(); }

    void view_changed(const distribution::Changes& changes) {
        if (changes.configuration) apply_configuration(control_.view().configuration());
        if (changes.members) quotas_.members_changed(control_.view().members());
        proxy_.view_changed(control_.view(), changes);
        if (changes.instances) log_instances();
        control_.set_ready(ready());
    }

    void lease_changed(const ListLease& lease) {
        proxy_.set_list_valid_until(lease.valid_until());
        const bool lost = !lease.holds(loop_.now());
        if (std::exchange(list_lease_lost_, lost) == lost) return;
        logging::log(lost ? Level::warning : Level::info,
                     lost ? Event::list_lease_lost : Event::list_lease_renewed,
                     {{"round_trip_ms", milliseconds(lease.round_trip())},
                      {"list_age_ms", milliseconds(lease.list_age(loop_.now()))}});
    }

    void log_instances() {
        const auto revision = control_.view().instances_revision().number;
        logging::log(Level::info, Event::instance_list_applied,
                     {{"revision", static_cast<std::int64_t>(revision)},
                      {"connecting", static_cast<std::int64_t>(proxy_.connecting())},
                      {"held_age_ms", milliseconds(control_.lease().list_age(loop_.now()))}});
    }

    void apply_configuration(const wire::ConfigurationUpdate& update) {
        configuration::ParseResult parsed = configuration::parse_configuration(update.text);
        auto* const configuration = std::get_if<configuration::Configuration>(&parsed);
        if (!configuration) {
            logging::log(
                Level::error, Event::configuration_refused,
                {{"version", static_cast<std::int64_t>(update.version)},
                 {"reason", configuration::to_string(std::get<configuration::Rejection>(parsed).reason)}});
            return;
        }
        proxy_.configure(std::make_shared<const configuration::Configuration>(std::move(*configuration)));
        logging::log(Level::info, Event::configuration_applied,
                     {{"version", static_cast<std::int64_t>(update.version)}});
    }

    void settings_changed(const settings::Settings& settings) {
        control_.set_seeds(settings.network.seed_nodes);
    }

    void terminate() {
        if (shutdown_.started()) return;
        logging::log(Level::info, Event::stopping, {});
        shutdown_.start(loop_.now());
        control_.set_ready(false);
        proxy_.drain(shutdown_.response_deadline());
        continue_shutdown();
    }

    bool idle() {
        return proxy_.open_requests() == 0 && proxy_.front_end().connections() == 0 &&
               loop_.connections().closing() == 0;
    }

    void continue_shutdown() {
        const ShutdownState state = shutdown_.advance(loop_.now(), idle());
        if (state >= ShutdownState::closing) proxy_.stop_accepting();
        if (state >= ShutdownState::flushing) proxy_.finish_open_requests();
        if (state == ShutdownState::ended) return stop();
        shutdown_check_.start(shutdown_check_interval, [this] { continue_shutdown(); });
    }

    void stop() {
        logging::log(Level::info, Event::stopped,
                     {{"open_requests", static_cast<std::int64_t>(proxy_.open_requests())},
                      {"open_connections", static_cast<std::int64_t>(proxy_.front_end().connections())}});
        loop_.stop();
    }

    const settings::Settings settings_;
    runtime::EventLoop loop_;
    transport::Sessions sessions_;
    ControlSession control_;
    QuotaClient quotas_;
    Proxy proxy_;
    api::Server readiness_;
    api::Server directory_;
    Shutdown shutdown_;
    runtime::Timer shutdown_check_;
    const std::set<std::string> regions_;  // all configured regions
    // The regions whose clients were last directed to other regions.
    std::set<std::string> regions_without_gateways_;
    bool list_lease_lost_ = false;
    process::SettingsWatch watch_;
};

}  // namespace

int run(const settings::Settings& settings, const std::string& path) { return Process(settings, path).run(); }

}  // namespace dewweir::gateway
