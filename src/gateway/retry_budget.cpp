#include "gateway/retry_budget.h"

#include <algorithm>

namespace dewweir::gateway {
namespace {

// Of the rule's figures: attempts arrive later than they are sent, and gateways learn late of each other.
constexpr double used_part = 0.9;
constexpr double least_capacity = 1.0;
constexpr double one_attempt = 1.0;

}  // namespace

RetryShare retry_share(const RetryBound& bound, std::size_t gateways) {
    RetryShare share{used_part * bound.ratio, least_capacity};
    if (gateways > 0) {
        const double part = used_part * bound.slack / static_cast<double>(gateways);
        share.capacity = std::max(least_capacity, part);
    }
    return share;
}

RetryBudget::RetryBudget(const RetryBound& bound) : bound_(bound), share_(retry_share(bound, 0)) {}

void RetryBudget::gateways_changed(std::size_t gateways) {
    share_ = retry_share(bound_, gateways);
    for (auto& [service, tokens] : tokens_) tokens = std::min(tokens, share_.capacity);
}

void RetryBudget::requested(const std::string& service) {
    double& tokens = tokens_[service];
    tokens = std::min(share_.capacity, tokens + share_.per_request);
}

bool RetryBudget::allows(const std::string& service) const {
    const auto found = tokens_.find(service);
    return found != tokens_.end() && found->second >= one_attempt;
}

void RetryBudget::spend(const std::string& service) { tokens_.at(service) -= one_attempt; }

}  // namespace dewweir::gateway
