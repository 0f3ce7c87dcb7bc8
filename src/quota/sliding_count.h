// The sliding window estimate of one counting process: previous count x (1 - fraction of the window elapsed)
// + current count (Singh, "Your rate limiter will fail open or closed"). Pure.
#pragma once

#include <algorithm>
#include <chrono>

namespace dewweir::quota {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// A quota as the operator states it. Requests, and requests a second.
struct Quota {
    double rate_per_s = 0;  // 0: no limit
    double burst = 0;

    auto operator<=>(const Quota&) const = default;

    bool limits() const { return rate_per_s > 0; }
};

class SlidingCount {
  public:
    SlidingCount() = default;
    // As another process states it: when its window began, by the clock here.
    SlidingCount(TimePoint began, double current, double previous)
        : began_(began), current_(current), previous_(previous) {}

    void add(TimePoint now, Duration window, double units) {
        roll(now, window);
        current_ = std::max(0.0, current_ + units);
    }
    // Of the window now under way and the part of the one before that still overlaps.
    double estimate(TimePoint now, Duration window) {
        roll(now, window);
        const double elapsed =
            std::chrono::duration<double>(now - began_) / std::chrono::duration<double>(window);
        return previous_ * (1 - elapsed) + current_;
    }

    // Brings the window to one that began at `boundary`, within the last `window`, once the own one has begun
    // before it. What was counted goes to both windows as if it had come evenly.
    void align(TimePoint now, Duration window, TimePoint boundary) {
        roll(now, window);
        const Duration late = boundary - began_;
        const Duration tolerance = window / alignment_parts;
        if (late <= tolerance || late >= window - tolerance) return;
        const double moved = std::chrono::duration<double>(late) / std::chrono::duration<double>(window);
        const double before =
            current_ * (late / std::chrono::duration<double, Duration::period>(now - began_));
        previous_ = previous_ * (1 - moved) + before;
        current_ -= before;
        began_ = boundary;
    }

    TimePoint began() const { return began_; }
    double current() const { return current_; }
    double previous() const { return previous_; }

  private:
    // Windows this part of their length apart, by delays of the network, count as aligned.
    static constexpr int alignment_parts = 16;

    void roll(TimePoint now, Duration window) {
        if (now - began_ < window) return;
        const bool next = now - began_ < 2 * window;
        previous_ = next ? current_ : 0;
        current_ = 0;
        began_ = next ? began_ + window : now;
    }

    TimePoint began_{};
    double current_ = 0;
    double previous_ = 0;
};

}  // namespace dewweir::quota
