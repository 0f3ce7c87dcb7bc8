// The loop's clock and all its deadlines, in one ordered structure under one timer. Owns both; it must never
// let time go back, nor call what a dropped deadline held.
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
    using Key = std::pair<Time, std::uint64_t>;  // {0, 0} is none

    // `slack`: how late the loop may be woken for them, so that many fall due with something else.
    explicit Deadlines(Time slack);

    // Tenths of a millisecond since 1970, read once a turn: the wall clock at the start, the steady one
    // since.
    Time now() const { return now_; }
    void update_now() { now_ = read_clock(); }

    Key after(Time from_now, std::function<void()> what);
    // Takes a deadline out, whether or not it has passed, and forgets its key.
    void cancel(Key& key);

    // Calls what has come due.
    void run_due();
    // When the loop must be woken for the next one; an hour off where there is none.
    std::chrono::steady_clock::time_point next() const;

  private:
    Time read_clock() const;

    std::chrono::steady_clock::time_point start_;
    Time slack_, start_time_, now_;
    std::uint64_t last_id_ = 0;
    std::map<Key, std::function<void()>> deadlines_;
};

}  // namespace dewweir::net
