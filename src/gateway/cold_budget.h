// How much this gateway may send to cold hosts. One gateway owns a cold host's whole budget: the one that
// rendezvous hashing over the members names, nearest to the host first. Views of the members may differ for a
// while, so that two gateways take themselves for the owner: the rate is such that two together stay within
// the bound. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/endpoints.h"

namespace dewweir::gateway {

// Of the rules: a cold host gets at most `per_s` x `overshoot` + `slack` requests in one second.
struct ColdBound {
    double overshoot = 1;
    double slack = 0;  // requests
};

// Requests a second, and how many may come at once, for one owner among two.
struct ColdRate {
    double per_s = 0;
    double burst = 0;
};
ColdRate rate_of_owner(double cold_per_s, const ColdBound& bound);

class ColdBudget {
  public:
    ColdBudget(std::string self, const ColdBound& bound) : self_(std::move(self)), bound_(bound) {}

    // The gateways, one of which owns each cold host.
    void members_changed(const std::map<std::string, wire::Member>& members);
    // `cold_per_s`: of the endpoint's service.
    bool owns(const Endpoint& endpoint) const;
    // Whether a request may be sent to this cold endpoint now; if so it is counted.
    bool spend(const Endpoint& endpoint, double cold_per_s, runtime::Time now);
    // When the next request may be sent, `now` or later; nothing where another gateway owns it.
    std::optional<runtime::Time> next(const Endpoint& endpoint, double cold_per_s, runtime::Time now);
    void forget(EndpointId endpoint) { tokens_.erase(endpoint); }

  private:
    struct Tokens {
        double held = 0;  // none at first: what an earlier owner or life has sent is not known
        runtime::Time at = 0;
    };
    Tokens& refill(EndpointId endpoint, const ColdRate& rate, runtime::Time now);

    std::string self_;
    ColdBound bound_;
    std::map<std::string, wire::Member> gateways_;
    std::map<EndpointId, Tokens> tokens_;
};

}  // namespace dewweir::gateway
