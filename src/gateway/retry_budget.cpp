#include "gateway/retry_budget.h"

#include <algorithm>

namespace dewweir::gateway {
namespace {

// Fraction of the bound that is used: attempts arrive later than they are sent, and gateways learn of each
// other with a delay.
constexpr double safety_factor = 0.9;
constexpr double min_capacity = 1.0;  // tokens
constexpr double tokens_per_attempt = 1.0;

}  // namespace

RetryBucketLimits retry_bucket_limits(const RetryBound& bound, std::size_t gateways) {
    RetryBucketLimits limits{safety_factor * bound.ratio, min_capacity};
    if (gateways > 0) {
        const double share = safety_factor * bound.slack / static_cast<double>(gateways);
        limits.capacity = std::max(min_capacity, share);
    }
    return limits;
}

RetryBudget::RetryBudget(const RetryBound& bound) : bound_(bound), limits_(retry_bucket_limits(bound, 0)) {}

void RetryBudget::gateways_changed(std::size_t gateways) {
    limits_ = retry_bucket_limits(bound_, gateways);
    for (auto& [service, tokens] : tokens_) tokens = std::min(tokens, limits_.capacity);
}

void RetryBudget::add_request(const std::string& service) {
    double& tokens = tokens_[service];
    tokens = std::min(limits_.capacity, tokens + limits_.tokens_per_request);
}

bool RetryBudget::allows(const std::string& service) const {
    const auto found = tokens_.find(service);
    return found != tokens_.end() && found->second >= tokens_per_attempt;
}

void RetryBudget::spend(const std::string& service) { tokens_.at(service) -= tokens_per_attempt; }

}  // namespace dewweir::gateway
