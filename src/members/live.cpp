#include "live.h"

#include <algorithm>

namespace dewweir::members {

void Live::see(Time now, std::size_t present) {
    const auto part = [&](std::size_t of) { return terms_.cut_part * static_cast<double>(of); };
    if (cut_since_) {
        const bool healed = static_cast<double>(present) >= part(cut_from_);
        if (!healed && now - cut_since_ < terms_.partition_for) return;
        cut_since_ = 0;
        if (!healed) seen_.clear();  // this is what there is
    }
    while (!seen_.empty() && seen_.back().second <= present) seen_.pop_back();
    seen_.emplace_back(now, present);
    const auto most_since = [&](Time from) {
        std::size_t most = present;
        for (const auto& [at, n] : seen_)
            if (at >= from) most = std::max(most, n);
        return most;
    };
    while (seen_.size() > 1 && seen_.front().first < now - std::max(terms_.moment, terms_.hold))
        seen_.pop_front();
    const std::size_t knew = most_since(now - terms_.moment);
    if (static_cast<double>(present) < part(knew)) {
        cut_since_ = std::max<Time>(1, now);
        cut_from_ = knew;
        count_ = std::max(count_, knew);
        return;
    }
    count_ = most_since(now - terms_.hold);
}

}  // namespace dewweir::members
