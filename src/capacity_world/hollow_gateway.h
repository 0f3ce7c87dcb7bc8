// A gateway without clients and hosts, many of which share a process: its real session with the control
// plane, its view, its tables of hosts and routes, its placement and its quota client. This package owns the
// measuring of what they cost; it must never be part of the program that is deployed.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "configuration/route_table.h"
#include "gateway/control_session.h"
#include "gateway/endpoints.h"
#include "gateway/quota_client.h"

namespace dewweir::capacity_world {

using Clock = std::chrono::steady_clock;

// What a hollow gateway has taken over from its control plane.
enum class Taken : std::uint8_t { configuration, instances, members };

struct TakenEvent {
    Taken what = Taken::configuration;
    std::string node;
    std::uint64_t version = 0;  // of the configuration; else how many instances or members are known
    Clock::time_point heard_at{};
    Clock::time_point in_force_at{};
};

// The gateway number `number` of those that share `common`: its own name, address and zone.
settings::Settings settings_of(const settings::Settings& common, std::uint32_t number);

class HollowGateway {
  public:
    using Observer = std::function<void(const TakenEvent&)>;

    HollowGateway(runtime::EventLoop& loop, transport::Sessions& sessions, const settings::Settings& settings,
                  Observer observer);

    // Returns why its address can't be bound, else nothing.
    std::optional<std::string> start();
    gateway::QuotaClient& quotas() { return quotas_; }
    bool has_configuration() const { return routes_ != nullptr; }

  private:
    void view_changed(const distribution::Changes& changes);
    void take_configuration(const wire::ConfigurationUpdate& update);
    void report(Taken what, std::uint64_t version, Clock::time_point heard_at) const;

    settings::Settings settings_;
    runtime::EventLoop& loop_;
    gateway::ControlSession control_;
    gateway::QuotaClient quotas_;
    gateway::EndpointTable endpoints_;
    std::map<std::string, wire::Member> members_;  // the proxy keeps them a second time, too
    std::shared_ptr<const configuration::RouteTable> routes_;
    Observer observer_;
};

}  // namespace dewweir::capacity_world
