// The loop's clock and all its deadlines, in one ordered structure under one timer. Owns both; it must never
// let time go back, nor call what a dropped deadline held.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "dewweir/choice.h"

namespace dewweir::net {

class Deadlines {
  public:
    using Key = std::pair<Time, std::uint64_t>;  // {0, 0} is none

    explicit Deadlines(asio::io_context& io);

    // Tenths of a millisecond since 1970, read once a turn: the wall clock at the start, the steady one
    // since.
    Time now() const { return now_; }
    void turn() { now_ = read(); }

    Key after(Time from_now, std::function<void()> what);
    // Takes a deadline out, whether or not it has passed, and forgets its key.
    void drop(Key& key);

  private:
    Time read() const;
    void arm();
    void passed();

    std::chrono::steady_clock::time_point start_;
    Time start_time_, now_;
    asio::steady_timer timer_;
    Time armed_for_ = 0;  // 0: not armed
    std::uint64_t last_ = 0;
    std::map<Key, std::function<void()>> deadlines_;
};

}  // namespace dewweir::net
