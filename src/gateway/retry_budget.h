// How many further attempts this gateway may make: for each service a part of the requests that it takes, and
// its share of what all gateways together may make beyond that. Pure.
//
// A bucket for each service: a request adds the rule's ratio, less a margin, a further attempt takes one. It
// starts empty, so that a restart mints nothing, lives as long as the process, whatever configurations come,
// and holds at most one gateway's share of the rule's slack. So in any window one gateway makes at most ratio
// x its requests + its share, and all together ratio x all requests + the shares of all.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace dewweir::gateway {

// The rule, over all gateways and any window: further attempts <= ratio x requests + slack.
struct RetryBound {
    double ratio = 0.0;
    double slack = 0.0;
};

// One gateway's bucket for one service.
struct RetryShare {
    double per_request = 0.0;  // what a request adds
    double capacity = 0.0;     // what the bucket holds at most, 1 or more: less could never be spent
};

// `gateways`: how many share the slack; 0: not known, the least is held.
RetryShare retry_share(const RetryBound& bound, std::size_t gateways);

class RetryBudget {
  public:
    explicit RetryBudget(const RetryBound& bound);

    void gateways_changed(std::size_t gateways);
    // A request for the service has come.
    void requested(const std::string& service);
    // Whether the service may be sent a further attempt now.
    bool allows(const std::string& service) const;
    // One is sent; only where it is allowed.
    void spend(const std::string& service);

  private:
    RetryBound bound_;
    RetryShare share_;
    std::map<std::string, double> tokens_;  // by service
};

}  // namespace dewweir::gateway
