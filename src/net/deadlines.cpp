#include "deadlines.h"

#include <algorithm>

namespace dewweir::net {

using Tenths = std::chrono::duration<Time, std::ratio<1, 10000>>;

Deadlines::Deadlines(asio::io_context& io)
    : start_(std::chrono::steady_clock::now()),
      start_time_(
          std::chrono::duration_cast<Tenths>(std::chrono::system_clock::now().time_since_epoch()).count()),
      now_(start_time_),
      timer_(io) {}

Time Deadlines::read() const {
    return start_time_ +
           std::chrono::duration_cast<Tenths>(std::chrono::steady_clock::now() - start_).count();
}

Deadlines::Key Deadlines::after(Time from_now, std::function<void()> what) {
    const Key key{now_ + std::max<Time>(0, from_now), ++last_};
    deadlines_.emplace(key, std::move(what));
    arm();
    return key;
}

void Deadlines::drop(Key& key) {
    deadlines_.erase(key);
    key = {};
}

void Deadlines::arm() {
    if (deadlines_.empty()) return;
    const Time next = deadlines_.begin()->first.first;
    if (armed_for_ && armed_for_ <= next) return;
    armed_for_ = next;
    timer_.expires_at(start_ + Tenths(next - start_time_));
    timer_.async_wait([this](const std::error_code& fault) {
        if (!fault) passed();
    });
}

void Deadlines::passed() {
    turn();
    armed_for_ = 0;
    // What is set in here for at once waits for the next turn, so that no deadline can hold the loop.
    const std::uint64_t set_before = last_;
    for (auto at = deadlines_.begin(); at != deadlines_.end() && at->first.first <= now_;) {
        if (at->first.second > set_before) {
            ++at;
            continue;
        }
        const std::function<void()> what = std::move(at->second);
        deadlines_.erase(at);
        what();
        at = deadlines_.begin();
    }
    arm();
}

}  // namespace dewweir::net
