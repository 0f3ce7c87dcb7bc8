// The counts that one gateway holds for all: of each tenant, what every gateway has let in, as each states
// it. A statement replaces the one before it of the same gateway, so that lost, doubled and late ones do no
// harm, and a holder that has lost all is rebuilt by everybody's next call. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "quota/sliding_count.h"

namespace dewweir::quota {

using TenantId = std::uint64_t;
using GatewayIncarnation = std::uint64_t;  // of one gateway process

// What a gateway states of a tenant: its own count, in windows by its own clock.
struct Statement {
    TenantId tenant = 0;
    GatewayIncarnation gateway = 0;
    std::uint64_t sequence = 0;  // grows within the gateway's life
    std::chrono::milliseconds window{0};
    std::chrono::milliseconds elapsed{0};  // of its window
    double current = 0;
    double previous = 0;
};

// The holder's answer to a statement.
struct HeldCount {
    double others = 0;  // estimate of all other gateways together, in requests
    // Of the holder's window, to which all gateways bring theirs; nothing where it is not known.
    std::optional<std::chrono::milliseconds> elapsed;
};

class CountHolder {
  public:
    // Takes the statement over.
    HeldCount state(TimePoint now, const Statement& statement);
    // Forgets tenants that nobody has spoken of for long.
    void forget_idle(TimePoint now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct Stated {
        std::uint64_t sequence = 0;
        SlidingCount count;
    };
    struct Tenant {
        std::map<GatewayIncarnation, Stated> gateways;
        TimePoint spoken_of{};
    };
    std::map<TenantId, Tenant> tenants_;
};

}  // namespace dewweir::quota
