// What has moved of one tenant's part of its quota: lent to others, and held from them. Room moves with the
// units: who has lent cannot refill what is out, so that all parts together with what is held never pass the
// quota. It goes by slots of time that all cut alike: what is lent in one is over at the end of the next, at
// both ends. Pure, and a value.
#pragma once

#include <array>
#include <cstdint>

#include "dewweir/decisions.h"

namespace dewweir::limits {

class LoanBalance {
  public:
    static constexpr Time slot = 20000;  // 2 s: what is lent lives for one to two of them

    // When what is lent now is over.
    static Time expiry_of(Time now) { return (now / slot + 2) * slot; }

    // Units that have left our part and may still be used elsewhere: our part has that much less room.
    double lent(Time now) { return advance(now), lent_[0] + lent_[1]; }
    void lend(Time now, double units) { advance(now), lent_[0] += units; }

    // Units held from others, besides our own part.
    double borrowed(Time now) { return advance(now), borrowed_[0] + borrowed_[1]; }
    // Units that are over at `until`; those that are over, or last longer than any lent here could, are not
    // taken.
    void borrow(Time now, double units, Time until);
    // Uses what is held, that which is over first; what it could not hold is handed back.
    double spend(Time now, double units);

  private:
    void advance(Time now);

    std::int64_t at_ = 0;
    std::array<double, 2> lent_{}, borrowed_{};  // of this slot and of the one before
};

}  // namespace dewweir::limits
