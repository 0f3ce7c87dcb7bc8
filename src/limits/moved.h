// What one gateway has lent of its share of a tenant's quota, and what it has borrowed from other gateways.
// A lender cannot refill units while they are lent, so that all shares together with what is borrowed never
// exceed the quota. Time is cut into slots, the same for all gateways: units lent in a slot expire at the end
// of the next one, at the lender and at the borrower. Pure, and a value.
#pragma once

#include <array>
#include <cstdint>

#include "dewweir/decisions.h"

namespace dewweir::limits {

class LoanBalance {
  public:
    // 2 s; a loan lasts for one to two slots.
    static constexpr Time slot = 20000;

    // When a loan made now expires.
    static Time expiry_of(Time now) { return (now / slot + 2) * slot; }

    // Units lent that have not expired: the share's capacity is lower by as many.
    double lent(Time now) {
        advance(now);
        return lent_[0] + lent_[1];
    }
    void lend(Time now, double units) {
        advance(now);
        lent_[0] += units;
    }

    // Units borrowed and not spent yet, besides the gateway's own share.
    double borrowed(Time now) {
        advance(now);
        return borrowed_[0] + borrowed_[1];
    }
    // Ignores units that have expired, or whose expiry no loan of now could have.
    void borrow(Time now, double units, Time expires_at);
    // Spends borrowed units, the first to expire first. Returns how many of `units` they did not cover.
    double spend(Time now, double units);

  private:
    void advance(Time now);

    // Number of the current slot.
    std::int64_t slot_number_ = 0;
    // By the slot in which the loan was made: the current one, the one before.
    std::array<double, 2> lent_{}, borrowed_{};
};

}  // namespace dewweir::limits
