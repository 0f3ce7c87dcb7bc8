// Limits the requests that this gateway sends to cold hosts: hosts that have started recently and may be sent
// only a few requests a second. One gateway owns the whole budget of a cold host: among the gateways nearest
// to the host, the one with the highest rendezvous hash of both names. The gateways' views of the membership
// may differ for a while, so that two of them consider themselves the owner; the rate of an owner is
// therefore chosen so that two owners together stay within the bound. Performs no I/O; the caller passes the
// time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/endpoints.h"

namespace dewweir::gateway {

// The bound that the gateways keep together: in any second a cold host receives at most
// `cold_per_s` x `overshoot` + `slack` requests.
struct ColdBound {
    double overshoot = 1;
    double slack = 0;  // requests
};

// Token bucket of one owner, such that two owners together keep the ColdBound.
struct ColdRate {
    double per_s = 0;  // tokens added per second; one request takes one token
    double burst = 0;  // capacity of the bucket in tokens
};
// `cold_per_s`: the rate that the service's configuration allows for a cold host, in requests per second.
ColdRate owner_rate(double cold_per_s, const ColdBound& bound);

class ColdBudget {
  public:
    // `self`: node name of this gateway.
    ColdBudget(std::string self, const ColdBound& bound) : self_(std::move(self)), bound_(bound) {}

    // Takes the ready gateways among `members` as the candidates for ownership.
    void members_changed(const std::map<std::string, wire::Member>& members);
    // Whether this gateway owns the budget of `endpoint`.
    bool owns(const Endpoint& endpoint) const;
    // Takes one token for a request to this cold endpoint. Returns false, and takes nothing, where no token
    // is available or another gateway is the owner.
    bool try_spend(const Endpoint& endpoint, double cold_per_s, runtime::Time now);
    // The earliest time, `now` or later, at which a token is available; nothing where another gateway is the
    // owner, or where the rate is 0 and no token is left.
    std::optional<runtime::Time> next_allowed_at(const Endpoint& endpoint, double cold_per_s,
                                                 runtime::Time now);
    // Discards the bucket of an endpoint that was removed or is no longer cold.
    void remove(EndpointId endpoint) { tokens_.erase(endpoint); }

  private:
    // Bucket of one endpoint. It starts empty, since the requests that a previous owner or a previous
    // incarnation of this process has just sent are not known.
    struct Tokens {
        double available = 0;
        runtime::Time updated_at = 0;
    };
    Tokens& refill(EndpointId endpoint, const ColdRate& rate, runtime::Time now);

    std::string self_;
    ColdBound bound_;
    std::map<std::string, wire::Member> gateways_;  // the ready ones, by node name
    std::map<EndpointId, Tokens> tokens_;
};

}  // namespace dewweir::gateway
