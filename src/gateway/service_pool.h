// One decision module for the hosts of one service in one set of regions. The decision module (src/policy)
// decides which host a request is sent to and when, whether to attempt it again and whether to refuse it;
// ServicePool translates between that module and this gateway.
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

// Outcome of an attempt as the decision module classifies it.
using PolicyOutcome = dewweir::AttemptOutcome;

// Carries out the decisions of a pool.
class PoolActions {
  public:
    virtual ~PoolActions() = default;
    // Sends the request to the endpoint; the attempt times out after `within`.
    virtual void send_attempt(RequestId request, EndpointId endpoint, runtime::Time within) = 0;
    // Responds that the request has not been executed and never will be. `retry_after`: advice for the
    // client.
    virtual void refuse_request(RequestId request, runtime::Time retry_after) = 0;
    // Responds that the request has failed; it may have been executed.
    virtual void fail_request(RequestId request) = 0;
    // Breaks off the current attempt of the request.
    virtual void cancel_attempt(RequestId request) = 0;
};

// Identifies a pool. Requests of routes with different home regions go to different hosts.
struct PoolKey {
    std::string service;
    std::vector<std::string> regions;  // sorted; empty: all regions

    auto operator<=>(const PoolKey&) const = default;
};

// Requests that the decision module treats alike.
struct RequestKind {
    configuration::RouteClass route_class = configuration::RouteClass::mutating;
    std::chrono::milliseconds target_latency{0};
    std::uint32_t max_tries = 1;  // attempts for one request, the first included

    auto operator<=>(const RequestKind&) const = default;
};

RequestKind request_kind(const configuration::Route& route);

// Settings of a pool's decision module. A change replaces the pool by a new one.
struct PoolSettings {
    std::vector<RequestKind> kinds;  // sorted, without duplicates
    std::uint32_t capacity = 0;      // largest capacity among the service's hosts; 0: not known
    int gateways_in_zone = 1;        // gateways that share the zone's hosts, this one included

    auto operator<=>(const PoolSettings&) const = default;
};

struct PoolRequest {
    RequestId id = 0;
    RequestKind kind;
    runtime::Time time_left = 0;  // until the response must be sent
};

class ServicePool : Gateway {
  public:
    ServicePool(runtime::EventLoop& loop, PoolActions& actions, PoolKey key, PoolSettings settings,
                std::uint64_t seed);
    ~ServicePool() override;

    const PoolKey& key() const { return key_; }
    const PoolSettings& settings() const { return settings_; }

    // Replaces the list of endpoints. The `withheld` ones are listed as not usable.
    void update(const EndpointTable& endpoints, const std::set<EndpointId>& withheld);
    // Changes whether one endpoint may be sent requests.
    void set_usable(const Endpoint& endpoint, bool usable);
    void submit(const PoolRequest& request);
    // An attempt of the request has ended after `took`. `request_done`: the client has its response or has
    // disconnected, so no further attempt is needed.
    void attempt_finished(RequestId request, EndpointId endpoint, PolicyOutcome outcome, runtime::Time took,
                          bool request_done);
    void client_disconnected(RequestId request);

  private:
    bool contains(const Endpoint& endpoint) const;
    void list_endpoint(const Endpoint& endpoint, bool usable);
    void start_attempt(std::uint32_t request, std::uint32_t host, Time give_up_after) override;
    void refuse(std::uint32_t request, Time retry_after) override;
    void fail(std::uint32_t request) override;
    void cancel(std::uint32_t request, int attempt) override;
    // Does nothing: quotas are checked before a request is submitted to the pool.
    void add_to_counter(std::uint64_t, double, Time) override {}
    void start_timer(Time from_now, std::uint64_t token) override;
    void cancel_timer(std::uint64_t token) override;
    void watch_host_list() override {}
    void log(LogEvent what, std::uint32_t host, const std::string& line) override;
    void report_decisions(const DecisionCounts&) override {}

    runtime::EventLoop& loop_;
    PoolActions& actions_;
    PoolKey key_;
    PoolSettings settings_;
    std::multimap<std::uint64_t, net::Deadlines::Key> timers_;  // by the decision module's token
    std::unique_ptr<Decisions> decisions_;
};

}  // namespace dewweir::gateway
