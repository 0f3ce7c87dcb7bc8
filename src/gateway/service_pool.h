// One decision module for the hosts of one service that one kind of request may go to: which host, when, whether again,
// whether to refuse. Translates between the decision module (src/policy) and this gateway.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "dewweir/choice.h"
#include "gateway/endpoints.h"

namespace dewweir::gateway {

// What a pool's decisions are carried out by.
class PoolUser {
  public:
    virtual ~PoolUser() = default;
    virtual void send(RequestId request, EndpointId endpoint, runtime::Time within) = 0;
    // It has not run and never will.
    virtual void refuse(RequestId request, runtime::Time retry_after) = 0;
    virtual void fail(RequestId request) = 0;
    virtual void cancel(RequestId request) = 0;
    // Adds to the count of a tenant (the name says which window) and asks for the total.
    virtual void count(class ServicePool& pool, std::uint64_t name, double units, runtime::Time window) = 0;
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

struct Quota {
    double rate_per_s = 0;
    double burst = 0;

    auto operator<=>(const Quota&) const = default;
};

// All that a pool's decision module is made from; a change of it makes a new one.
struct PoolSettings {
    std::vector<RequestKind> kinds;  // sorted
    std::vector<Quota> quotas;       // of all tenants, sorted; the first is "no limit"
    std::uint32_t max_tries = 1;
    int gateways_nearby = 1;         // that send to the same hosts, this one included
    runtime::Time count_limit = 0;   // how long a count may take

    auto operator<=>(const PoolSettings&) const = default;
};

struct PoolRequest {
    RequestId id = 0;
    RequestKind kind;
    Quota quota;
    std::uint64_t tenant = 0;
    int quota_parts = 1;  // local buckets that share the quota, over all gateways
    runtime::Time time_left = 0;
};

class ServicePool : Gateway {
  public:
    ServicePool(runtime::EventLoop& loop, PoolUser& user, PoolKey key, PoolSettings settings, std::uint64_t seed);
    ~ServicePool() override;

    const PoolKey& key() const { return key_; }
    const PoolSettings& settings() const { return settings_; }

    // Which endpoints there are and whether they may be sent to.
    void update(const EndpointTable& endpoints, const std::set<EndpointId>& withheld);
    void submit(const PoolRequest& request);
    void attempt_over(RequestId request, EndpointId endpoint, Verdict verdict, runtime::Time took, bool answered);
    void client_left(RequestId request);
    void counted(std::uint64_t name, Verdict verdict, double total, runtime::Time took);

  private:
    void execute(std::uint32_t submission, std::uint32_t host, Time give_up_after) override;
    void bounce(std::uint32_t submission, Time come_back_in) override;
    void write_off(std::uint32_t submission) override;
    void cancel(std::uint32_t submission, int execution) override;
    void count(std::uint64_t name, double amount, Time keep_for) override;
    void arm(Time from_now, std::uint64_t token) override;
    void disarm(std::uint64_t token) override;
    void follow_list() override {}
    void log(Notice notice, std::uint32_t host, const std::string& line) override;
    void decided(const Decided&) override {}

    runtime::EventLoop& loop_;
    PoolUser& user_;
    PoolKey key_;
    PoolSettings settings_;
    std::multimap<std::uint64_t, net::Deadlines::Key> alarms_;  // by token
    std::unique_ptr<Choice> choice_;
};

}  // namespace dewweir::gateway
