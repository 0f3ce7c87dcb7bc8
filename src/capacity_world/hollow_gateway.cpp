#include "capacity_world/hollow_gateway.h"

#include "configuration/parser.h"
#include "configuration/route_table.h"
#include "gateway/identity.h"
#include "process/identity.h"
#include "transport/addresses.h"

namespace dewweir::capacity_world {
settings::Settings settings_of(const settings::Settings& common, std::uint32_t number) {
    settings::Settings own = common;
    own.self.node += "-" + std::to_string(number);
    own.self.ip += number;
    if (own.network.bind.front) own.network.bind.front->ip = own.self.ip;
    if (own.network.zones.empty()) return own;
    const auto steps = static_cast<std::ptrdiff_t>(number % own.network.zones.size());
    const auto place = std::next(own.network.zones.begin(), steps);
    own.self.zone = place->first;
    own.self.region = place->second;
    return own;
}

HollowGateway::HollowGateway(runtime::EventLoop& loop, transport::Sessions& sessions,
                             const settings::Settings& settings, Observer observer)
    : settings_(settings),
      loop_(loop),
      control_(
          loop, sessions, settings, process::describe_process(settings, wire::Role::gateway),
          [this](const distribution::Changes& changes) { view_changed(changes); },
          [](const gateway::ListLease&) {}, [](runtime::Time) { return false; }),
      quotas_(loop, settings.self.node, gateway::quota_bound(settings)),
      endpoints_({settings.self.zone, settings.self.region, settings.network.zones}),
      observer_(std::move(observer)) {}

std::optional<std::string> HollowGateway::start() {
    const std::optional<std::string> fault =
        quotas_.bind(transport::udp_endpoint(process::internal_endpoint(settings_)));
    if (!fault) control_.start();
    return fault;
}

void HollowGateway::view_changed(const distribution::Changes& changes) {
    const Clock::time_point heard_at = Clock::now();
    const distribution::View& view = control_.view();
    if (changes.configuration) {
        take_configuration(view.configuration());
        report(Taken::configuration, view.configuration().version, heard_at);
    }
    if (changes.members) {
        quotas_.members_changed(view.members());
        members_ = view.members();
        report(Taken::members, members_.size(), heard_at);
    }
    if (changes.instances || changes.evacuations) {
        endpoints_.update(view, loop_.now());
        report(Taken::instances, endpoints_.all().size(), heard_at);
    }
    control_.set_ready(has_configuration());
}

void HollowGateway::take_configuration(const wire::ConfigurationUpdate& update) {
    configuration::ParseResult parsed = configuration::parse_configuration(update.text);
    auto* const configuration = std::get_if<configuration::Configuration>(&parsed);
    if (!configuration) return;
    auto shared = std::make_shared<const configuration::Configuration>(std::move(*configuration));
    routes_ = std::make_shared<const configuration::RouteTable>(std::move(shared));
}

void HollowGateway::report(Taken what, std::uint64_t version, Clock::time_point heard_at) const {
    observer_({what, settings_.self.node, version, heard_at, Clock::now()});
}

}  // namespace dewweir::capacity_world
