#include "deadlines.h"

#include <algorithm>

namespace dewweir::net {

using Tenths = std::chrono::duration<Time, std::ratio<1, 10000>>;

Deadlines::Deadlines(Time slack)
    : start_(std::chrono::steady_clock::now()),
      slack_(slack),
      start_time_(
          std::chrono::duration_cast<Tenths>(std::chrono::system_clock::now().time_since_epoch()).count()),
      now_(start_time_) {}

Time Deadlines::read_clock() const {
    return start_time_ +
           std::chrono::duration_cast<Tenths>(std::chrono::steady_clock::now() - start_).count();
}

Deadlines::Key Deadlines::after(Time from_now, std::function<void()> what) {
    const Key key{now_ + std::max<Time>(0, from_now), ++last_id_};
    deadlines_.emplace(key, std::move(what));
    return key;
}

void Deadlines::cancel(Key& key) {
    deadlines_.erase(key);
    key = {};
}

std::chrono::steady_clock::time_point Deadlines::next() const {
    const Time at = deadlines_.empty() ? now_ + 36000000 : deadlines_.begin()->first.first + slack_;
    return start_ + Tenths(at - start_time_);
}

void Deadlines::run_due() {
    update_now();
    // Timers set by these callbacks wait for the next round, so that no callback can starve the loop.
    const std::uint64_t last_before = last_id_;
    for (auto at = deadlines_.begin(); at != deadlines_.end() && at->first.first <= now_;) {
        if (at->first.second > last_before) {
            ++at;
            continue;
        }
        const std::function<void()> what = std::move(at->second);
        deadlines_.erase(at);
        what();
        at = deadlines_.begin();
    }
}

}  // namespace dewweir::net
