// Clock and timers of an event loop, kept in one ordered map so that the loop needs a single wake-up time.
// The clock never goes back, and a cancelled callback is never called.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "dewweir/decisions.h"

namespace dewweir::net {

class Deadlines {
  public:
    using Key = std::pair<Time, std::uint64_t>;  // due time and sequence number; {0, 0} is none

    // `slack`: how late a timer may fire, so that several timers share one wake-up.
    explicit Deadlines(Time slack);

    // Tenths of a millisecond since 1970, as of the last `update_now`: wall clock at start plus the steady
    // clock since.
    Time now() const { return now_; }
    void update_now() { now_ = read_clock(); }

    // Calls `what` `from_now` later, at the earliest in the next `run_due`.
    Key after(Time from_now, std::function<void()> what);
    // Cancels a timer, due or not, and clears its key. No effect for a key that has fired.
    void cancel(Key& key);

    // Calls the callbacks that are due.
    void run_due();
    // When the loop must wake up for the next timer; in an hour if there is none.
    std::chrono::steady_clock::time_point next() const;

  private:
    Time read_clock() const;

    std::chrono::steady_clock::time_point start_;
    Time slack_, start_time_, now_;
    std::uint64_t last_id_ = 0;
    std::map<Key, std::function<void()>> deadlines_;
};

}  // namespace dewweir::net
