// One process's event loop: the io context, the clock with its deadlines, and the table of connections. Owns
// all three; one thread runs it. It must never be entered again from within a callback.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <cstddef>
#include <functional>

#include "net/connections.h"
#include "net/deadlines.h"

namespace dewweir::runtime {

using dewweir::Time;  // tenths of a millisecond

constexpr Time tenths_per_millisecond = 10;
constexpr Time tenths_per_second = 10000;

inline Time tenths(std::chrono::milliseconds duration) { return duration.count() * tenths_per_millisecond; }

class EventLoop {
  public:
    // `most_connections`: how many connections all users together may hold.
    explicit EventLoop(std::size_t most_connections);

    // Runs until `stop`.
    void run();
    void stop() { io_.stop(); }

    // Steady; never goes back. In tenths of a millisecond, as the decisions count it.
    Time now() const { return deadlines_.now(); }
    std::chrono::steady_clock::time_point steady_now() const { return std::chrono::steady_clock::now(); }

    // Calls `what` in the loop's next turn.
    void post(std::function<void()> what);
    // Calls `what` for every SIGTERM or SIGINT; `reload` for every SIGHUP.
    void on_signals(std::function<void()> terminate, std::function<void()> reload);

    asio::io_context& io() { return io_; }
    net::Deadlines& deadlines() { return deadlines_; }
    net::Connections& connections() { return connections_; }

  private:
    void wait_for_termination();
    void wait_for_reload();

    asio::io_context io_;
    net::Deadlines deadlines_;
    net::Connections connections_;
    asio::signal_set terminations_;
    asio::signal_set reloads_;
    std::function<void()> terminate_;
    std::function<void()> reload_;
};

// A deadline that renews or cancels itself; at most one is pending.
class Timer {
  public:
    explicit Timer(EventLoop& loop) : loop_(loop) {}
    ~Timer() { cancel(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void start(Time from_now, std::function<void()> what);
    void cancel();
    bool pending() const { return pending_; }

  private:
    EventLoop& loop_;
    net::Deadlines::Key key_{};
    bool pending_ = false;
};

}  // namespace dewweir::runtime
