#include "live.h"

#include <algorithm>

namespace dewweir::members {

void LiveCount::update(Time now, std::size_t present) {
    const auto cut_limit = [&](std::size_t of) { return options_.cut_fraction * static_cast<double>(of); };
    if (cut_since_) {
        const bool healed = static_cast<double>(present) >= cut_limit(count_before_cut_);
        if (!healed && now - cut_since_ < options_.partition_for) return;
        cut_since_ = 0;
        if (!healed) maxima_.clear();  // the partition is taken for the actual size
    }
    while (!maxima_.empty() && maxima_.back().second <= present) maxima_.pop_back();
    maxima_.emplace_back(now, present);
    const auto max_since = [&](Time from) {
        std::size_t max = present;
        for (const auto& [at, n] : maxima_)
            if (at >= from) max = std::max(max, n);
        return max;
    };
    while (maxima_.size() > 1 &&
           maxima_.front().first < now - std::max(options_.cut_window, options_.fall_delay))
        maxima_.pop_front();
    const std::size_t recent = max_since(now - options_.cut_window);
    if (static_cast<double>(present) < cut_limit(recent)) {
        cut_since_ = std::max<Time>(1, now);
        count_before_cut_ = recent;
        count_ = std::max(count_, recent);
        return;
    }
    count_ = max_since(now - options_.fall_delay);
}

}  // namespace dewweir::members
