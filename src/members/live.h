// How many gateways there are, for parts of quotas: steady where members come and go, and as it was where we
// have been cut off. Pure: moments and counts are handed in.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "dewweir/decisions.h"

namespace dewweir::members {

struct LiveTerms {
    Time hold = 300000;             // a fall is believed when it has lasted so long
    Time moment = 600000;           // what was seen within so long is what we knew a moment ago
    Time partition_for = 18000000;  // a cut that lasts longer is taken for what there is now
    double cut_part = 0.5;          // seeing less than this part of it, we are cut off
};

// A rise counts at once: too many parts let in too little for a moment, too few mint quota. A fall counts
// once it has lasted, so that one that flaps is counted as there. Under half of what was there a moment ago
// is no fall, but a cut: the count stays as it was until it heals.
class Live {
  public:
    explicit Live(const LiveTerms& terms) : terms_(terms) {}

    // `present`: from 1, with ourselves. Moments must not go back.
    void see(Time now, std::size_t present);
    std::size_t count() const { return count_; }
    bool cut_off() const { return cut_since_ > 0; }
    Time cut_since() const { return cut_since_; }

  private:
    LiveTerms terms_;
    std::deque<std::pair<Time, std::size_t>> seen_;  // falling from front to back: the most from then on
    std::size_t count_ = 0;
    Time cut_since_ = 0;
    std::size_t cut_from_ = 0;  // how many there were
};

}  // namespace dewweir::members
