// One decision module for the hosts of one service that one kind of request may go to: which host, when,
// whether again, whether to refuse. Translates between the decision module (src/policy) and this gateway.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "dewweir/decisions.h"
#include "gateway/endpoints.h"

namespace dewweir::gateway {

// How an attempt ended, in the decision module's terms.
using PolicyOutcome = dewweir::AttemptOutcome;

// What a pool's decisions are carried out by.
class PoolUser {
  public:
    virtual ~PoolUser() = default;
    virtual void send(RequestId request, EndpointId endpoint, runtime::Time within) = 0;
    // It has not run and never will.
    virtual void refuse(RequestId request, runtime::Time retry_after) = 0;
    virtual void fail(RequestId request) = 0;
    virtual void cancel(RequestId request) = 0;
};

// Whose pool it is: requests of routes with other homes go to other hosts.
struct PoolKey {
    std::string service;
    std::vector<std::string> regions;  // sorted; empty: all

    auto operator<=>(const PoolKey&) const = default;
};

struct RequestKind {
    configuration::RouteClass route_class = configuration::RouteClass::mutating;
    std::chrono::milliseconds target_latency{0};

    auto operator<=>(const RequestKind&) const = default;
};

// All that a pool's decision module is made from; a change of it makes a new one.
struct PoolSettings {
    std::vector<RequestKind> kinds;  // sorted
    std::uint32_t max_tries = 1;
    std::uint32_t capacity = 0;  // the largest of its hosts; 0: not known
    int gateways_nearby = 1;     // that send to the same hosts, this one included

    auto operator<=>(const PoolSettings&) const = default;
};

struct PoolRequest {
    RequestId id = 0;
    RequestKind kind;
    runtime::Time time_left = 0;
};

class ServicePool : Gateway {
  public:
    ServicePool(runtime::EventLoop& loop, PoolUser& user, PoolKey key, PoolSettings settings,
                std::uint64_t seed);
    ~ServicePool() override;

    const PoolKey& key() const { return key_; }
    const PoolSettings& settings() const { return settings_; }

    // Which endpoints there are and whether they may be sent to.
    void update(const EndpointTable& endpoints, const std::set<EndpointId>& withheld);
    // One endpoint may be sent to, or not, from now on.
    void set_usable(const Endpoint& endpoint, bool usable);
    void submit(const PoolRequest& request);
    void attempt_over(RequestId request, EndpointId endpoint, PolicyOutcome verdict, runtime::Time took,
                      bool answered);
    void client_left(RequestId request);

  private:
    bool holds(const Endpoint& endpoint) const;
    void list(const Endpoint& endpoint, bool usable);
    void start_attempt(std::uint32_t request, std::uint32_t host, Time give_up_after) override;
    void refuse(std::uint32_t request, Time retry_after) override;
    void fail(std::uint32_t request) override;
    void cancel(std::uint32_t request, int attempt) override;
    // Quotas are checked before a request comes here.
    void add_to_counter(std::uint64_t, double, Time) override {}
    void start_timer(Time from_now, std::uint64_t token) override;
    void cancel_timer(std::uint64_t token) override;
    void watch_host_list() override {}
    void log(LogEvent what, std::uint32_t host, const std::string& line) override;
    void report_decisions(const DecisionCounts&) override {}

    runtime::EventLoop& loop_;
    PoolUser& user_;
    PoolKey key_;
    PoolSettings settings_;
    std::multimap<std::uint64_t, net::Deadlines::Key> alarms_;  // by token
    std::unique_ptr<Decisions> decisions_;
};

}  // namespace dewweir::gateway
