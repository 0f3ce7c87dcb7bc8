// The counts that one gateway holds for all: for each tenant, how many requests every gateway has admitted,
// as each gateway states it. A statement replaces the previous one of its gateway, so that lost, duplicated
// and late messages do no harm, and a holder that has lost its data recovers it from the next call of every
// gateway. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "quota/sliding_count.h"

namespace dewweir::quota {

using TenantId = std::uint64_t;
// Identifies one gateway process; differs after a restart.
using GatewayIncarnation = std::uint64_t;

// What a gateway states about a tenant: its own count, in windows of its own clock.
struct Statement {
    TenantId tenant = 0;
    GatewayIncarnation gateway = 0;
    // Grows within an incarnation.
    std::uint64_t sequence = 0;
    // Length of the window.
    std::chrono::milliseconds window{0};
    // Time since the current window began.
    std::chrono::milliseconds elapsed{0};
    // Requests counted in the current window and in the one before.
    double current = 0;
    double previous = 0;
};

// The holder's answer to a statement.
struct HeldCount {
    // Estimated requests of all other gateways in a sliding window.
    double others = 0;
    // Time since the holder's window began; all gateways align theirs to it. Empty: unknown.
    std::optional<std::chrono::milliseconds> elapsed;
};

class CountHolder {
  public:
    // Takes over a statement, unless a later one of its gateway is known, and answers it.
    HeldCount state(TimePoint now, const Statement& statement);
    // Drops tenants without a statement for 20 s.
    void drop_idle(TimePoint now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct GatewayCount {
        std::uint64_t sequence = 0;
        SlidingCount count;
    };
    struct Tenant {
        std::map<GatewayIncarnation, GatewayCount> gateways;
        TimePoint last_statement_at{};
    };
    std::map<TenantId, Tenant> tenants_;
};

}  // namespace dewweir::quota
