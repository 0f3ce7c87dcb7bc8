// Limits the further attempts that this gateway makes, for each service: to a fraction of the requests that
// it receives, plus its share of the slack that all gateways have together. Performs no I/O.
//
// One token bucket for each service: a request adds the bound's ratio, less a safety margin, and a further
// attempt takes one token. The bucket starts empty, so that a restart creates no tokens. It lives as long as
// the process and survives changes of the configuration. Its capacity is at most this gateway's share of the
// slack. Hence in any window one gateway makes at most ratio x its requests + its share, and all gateways
// together at most ratio x all requests + the sum of the shares.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace dewweir::gateway {

// Bound that all gateways keep together, in any window: further attempts <= ratio x requests + slack.
struct RetryBound {
    double ratio = 0.0;  // further attempts for each request
    double slack = 0.0;  // further attempts
};

// One gateway's bucket for one service.
struct RetryBucketLimits {
    double tokens_per_request = 0.0;
    double capacity = 0.0;  // in tokens; at least 1, since a smaller bucket could never pay for an attempt
};

// `gateways`: how many gateways share the slack; 0: not known yet, the capacity is the smallest.
RetryBucketLimits retry_bucket_limits(const RetryBound& bound, std::size_t gateways);

class RetryBudget {
  public:
    explicit RetryBudget(const RetryBound& bound);

    // Changes the capacity of all buckets; tokens beyond a smaller capacity are discarded.
    void gateways_changed(std::size_t gateways);
    // A request for the service has been received.
    void add_request(const std::string& service);
    // Whether the service may be sent a further attempt now.
    bool allows(const std::string& service) const;
    // A further attempt is made. Requires `allows`.
    void spend(const std::string& service);

  private:
    RetryBound bound_;
    RetryBucketLimits limits_;
    std::map<std::string, double> tokens_;  // by service
};

}  // namespace dewweir::gateway
