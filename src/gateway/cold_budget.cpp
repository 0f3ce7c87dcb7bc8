#include "gateway/cold_budget.h"

#include <xxhash.h>

#include <algorithm>

namespace dewweir::gateway {
namespace {

constexpr double burst_of_owner = 1.25;
constexpr double owners_at_once = 2;

std::uint64_t score_of(const std::string& node, const std::string& instance) {
    return XXH3_64bits_withSeed(node.data(), node.size(), XXH3_64bits(instance.data(), instance.size()));
}

}  // namespace

// Within any second an owner sends at most per_s + burst.
ColdRate rate_of_owner(double cold_per_s, const ColdBound& bound) {
    const double allowed = (cold_per_s * bound.overshoot + bound.slack) / owners_at_once;
    return {std::max(0.0, std::min(cold_per_s, allowed - burst_of_owner)), burst_of_owner};
}

void ColdBudget::members_changed(const std::map<std::string, wire::Member>& members) {
    gateways_.clear();
    for (const auto& [node, member] : members) {
        if (member.role == wire::Role::gateway && member.ready) gateways_[node] = member;
    }
}

bool ColdBudget::owns(const Endpoint& endpoint) const {
    const std::string* owner = nullptr;
    int nearest = 0;
    std::uint64_t highest = 0;
    for (const auto& [node, member] : gateways_) {
        const int nearness = member.zone == endpoint.instance.zone ? 2
                             : member.region == endpoint.region    ? 1
                                                                   : 0;
        const std::uint64_t score = score_of(node, endpoint.instance.id);
        const bool better = !owner || nearness > nearest || (nearness == nearest && score > highest);
        if (!better) continue;
        owner = &node;
        nearest = nearness;
        highest = score;
    }
    return owner && *owner == self_;
}

ColdBudget::Tokens& ColdBudget::refill(EndpointId endpoint, const ColdRate& rate, runtime::Time now) {
    Tokens& tokens = tokens_.try_emplace(endpoint, Tokens{0, now}).first->second;
    const double seconds = static_cast<double>(now - tokens.at) / runtime::tenths_per_second;
    tokens.held = std::min(rate.burst, tokens.held + rate.per_s * seconds);
    tokens.at = now;
    return tokens;
}

bool ColdBudget::spend(const Endpoint& endpoint, double cold_per_s, runtime::Time now) {
    if (!owns(endpoint)) return false;
    Tokens& tokens = refill(endpoint.id, rate_of_owner(cold_per_s, bound_), now);
    if (tokens.held < 1) return false;
    tokens.held -= 1;
    return true;
}

std::optional<runtime::Time> ColdBudget::next(const Endpoint& endpoint, double cold_per_s,
                                              runtime::Time now) {
    const ColdRate rate = rate_of_owner(cold_per_s, bound_);
    if (!owns(endpoint)) {
        tokens_.erase(endpoint.id);
        return std::nullopt;
    }
    const Tokens& tokens = refill(endpoint.id, rate, now);
    if (tokens.held >= 1) return now;
    if (rate.per_s <= 0) return std::nullopt;
    const double seconds = (1 - tokens.held) / rate.per_s;
    return now + static_cast<runtime::Time>(seconds * runtime::tenths_per_second) + 1;
}

}  // namespace dewweir::gateway
