#include "gateway/cold_budget.h"

#include <xxhash.h>

#include <algorithm>

namespace dewweir::gateway {
namespace {

// Capacity of an owner's bucket, in requests.
constexpr double owner_burst = 1.25;
// Owners of one host's budget at the same time, while the gateways' views of the membership differ.
constexpr double max_concurrent_owners = 2;

std::uint64_t score_of(const std::string& node, const std::string& instance) {
    return XXH3_64bits_withSeed(node.data(), node.size(), XXH3_64bits(instance.data(), instance.size()));
}

}  // namespace

// A bucket of this rate lets at most per_s + burst requests pass in any second.
ColdRate owner_rate(double cold_per_s, const ColdBound& bound) {
    const double allowed = (cold_per_s * bound.overshoot + bound.slack) / max_concurrent_owners;
    return {std::max(0.0, std::min(cold_per_s, allowed - owner_burst)), owner_burst};
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
    const double seconds = static_cast<double>(now - tokens.updated_at) / runtime::tenths_per_second;
    tokens.available = std::min(rate.burst, tokens.available + rate.per_s * seconds);
    tokens.updated_at = now;
    return tokens;
}

bool ColdBudget::try_spend(const Endpoint& endpoint, double cold_per_s, runtime::Time now) {
    if (!owns(endpoint)) return false;
    Tokens& tokens = refill(endpoint.id, owner_rate(cold_per_s, bound_), now);
    if (tokens.available < 1) return false;
    tokens.available -= 1;
    return true;
}

std::optional<runtime::Time> ColdBudget::next_allowed_at(const Endpoint& endpoint, double cold_per_s,
                                                         runtime::Time now) {
    const ColdRate rate = owner_rate(cold_per_s, bound_);
    if (!owns(endpoint)) {
        tokens_.erase(endpoint.id);
        return std::nullopt;
    }
    const Tokens& tokens = refill(endpoint.id, rate, now);
    if (tokens.available >= 1) return now;
    if (rate.per_s <= 0) return std::nullopt;
    const double seconds = (1 - tokens.available) / rate.per_s;
    return now + static_cast<runtime::Time>(seconds * runtime::tenths_per_second) + 1;
}

}  // namespace dewweir::gateway
