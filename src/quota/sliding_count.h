// Sliding window estimate of one gateway's requests: previous count x (1 - fraction of the window elapsed) +
// current count (Singh, "Your rate limiter will fail open or closed"). Pure.
#pragma once

#include <algorithm>
#include <chrono>

namespace dewweir::quota {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// A tenant's quota as configured, in requests per second and requests.
struct Quota {
    // 0: no limit.
    double rate_per_s = 0;
    double burst = 0;

    auto operator<=>(const Quota&) const = default;

    bool limits() const { return rate_per_s > 0; }
};

class SlidingCount {
  public:
    SlidingCount() = default;
    // The count of another process. `began`: when its window began, by the clock here.
    SlidingCount(TimePoint began, double current, double previous)
        : began_(began), current_(current), previous_(previous) {}

    // Adds requests, or takes them back if negative; the current count never falls below 0.
    void add(TimePoint now, Duration window, double requests) {
        roll(now, window);
        current_ = std::max(0.0, current_ + requests);
    }
    // Requests in the current window and in the part of the previous one that still overlaps.
    double estimate(TimePoint now, Duration window) {
        roll(now, window);
        const double elapsed =
            std::chrono::duration<double>(now - began_) / std::chrono::duration<double>(window);
        return previous_ * (1 - elapsed) + current_;
    }

    // Moves the window to one that began at `boundary`, which lies within the last `window`, unless its own
    // began later. The counts are split between the windows as if the requests had come evenly.
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
    // Windows whose beginnings differ by less than 1 / 16 of their length, for network delays, count as
    // aligned.
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
