#include "moved.h"

#include <algorithm>

namespace dewweir::limits {

void Moved::turned(Time now) {
    const std::int64_t is = now / slot;
    if (is == at_) return;
    const bool next = is == at_ + 1;
    lent_ = {0, next ? lent_[0] : 0}, held_ = {0, next ? held_[0] : 0};
    at_ = is;
}

void Moved::come(Time now, double units, Time until) {
    turned(now);
    const std::int64_t left = until / slot - at_;  // slots that begin before it is over
    if (units <= 0 || until % slot || left < 1 || left > 2) return;
    held_[left == 2 ? 0 : 1] += units;
}

double Moved::use(Time now, double units) {
    turned(now);
    for (double* const of : {&held_[1], &held_[0]}) {
        const double used = std::min(units, *of);
        *of -= used, units -= used;
    }
    return units;
}

}  // namespace dewweir::limits
