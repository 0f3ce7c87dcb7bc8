#include "moved.h"

#include <algorithm>

namespace dewweir::limits {

void LoanBalance::advance(Time now) {
    const std::int64_t is = now / slot;
    if (is == at_) return;
    const bool next = is == at_ + 1;
    lent_ = {0, next ? lent_[0] : 0}, borrowed_ = {0, next ? borrowed_[0] : 0};
    at_ = is;
}

void LoanBalance::borrow(Time now, double units, Time until) {
    advance(now);
    const std::int64_t left = until / slot - at_;  // slots that begin before it is over
    if (units <= 0 || until % slot || left < 1 || left > 2) return;
    borrowed_[left == 2 ? 0 : 1] += units;
}

double LoanBalance::spend(Time now, double units) {
    advance(now);
    for (double* const of : {&borrowed_[1], &borrowed_[0]}) {
        const double used = std::min(units, *of);
        *of -= used, units -= used;
    }
    return units;
}

}  // namespace dewweir::limits
