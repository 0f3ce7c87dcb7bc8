// The number of gateways that quotas are divided by: stable while members come and go, and unchanged while
// this member is cut off from the others. Pure: times and counts are passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "dewweir/decisions.h"

namespace dewweir::members {

// Times in tenths of a millisecond.
struct LiveCountOptions {
    Time fall_delay = 300000;       // a lower count takes effect once it has lasted this long
    Time cut_window = 600000;       // the count is compared with the highest one within this window
    Time partition_for = 18000000;  // a partition that lasts longer is taken for the actual size
    double cut_fraction = 0.5;      // seeing less than this fraction, this member is cut off
};

// A rise takes effect at once: dividing by too many admits too little for a while, dividing by too few admits
// more than the quota. A fall takes effect once it has lasted, so that a flapping member counts as present. A
// sudden fall below `cut_fraction` is taken for a partition: the count stays as it was until it heals.
class LiveCount {
  public:
    explicit LiveCount(const LiveCountOptions& options) : options_(options) {}

    // `present`: members seen, at least 1, including this one. `now` must not go back.
    void update(Time now, std::size_t present);
    std::size_t count() const { return count_; }
    bool cut_off() const { return cut_since_ > 0; }
    Time cut_since() const { return cut_since_; }  // 0: not cut off

  private:
    LiveCountOptions options_;
    // Monotonic queue: each entry is the highest count from its time on, decreasing from front to back.
    std::deque<std::pair<Time, std::size_t>> maxima_;
    std::size_t count_ = 0;
    Time cut_since_ = 0;
    std::size_t count_before_cut_ = 0;
};

}  // namespace dewweir::members
