#include "moved.h"

#include <algorithm>

namespace dewweir::limits {

void LoanBalance::advance(Time now) {
    const std::int64_t current = now / slot;
    if (current == slot_number_) return;
    const bool next = current == slot_number_ + 1;
    lent_ = {0, next ? lent_[0] : 0};
    borrowed_ = {0, next ? borrowed_[0] : 0};
    slot_number_ = current;
}

void LoanBalance::borrow(Time now, double units, Time expires_at) {
    advance(now);
    // Slots that begin before the loan expires: 2 if it was made in this one, 1 if in the one before.
    const std::int64_t left = expires_at / slot - slot_number_;
    if (units <= 0 || expires_at % slot || left < 1 || left > 2) return;
    borrowed_[left == 2 ? 0 : 1] += units;
}

double LoanBalance::spend(Time now, double units) {
    advance(now);
    for (double* const of : {&borrowed_[1], &borrowed_[0]}) {
        const double used = std::min(units, *of);
        *of -= used;
        units -= used;
    }
    return units;
}

}  // namespace dewweir::limits
