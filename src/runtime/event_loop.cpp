#include "runtime/event_loop.h"

#include <asio/post.hpp>
#include <csignal>

namespace dewweir::runtime {
namespace {

// Deadlines that fall due within this time of each other share a wake-up.
constexpr Time deadline_slack = 2 * tenths_per_millisecond;

}  // namespace

EventLoop::EventLoop(std::size_t most_connections)
    : io_(1),
      deadlines_(deadline_slack),
      connections_(io_, deadlines_, most_connections),
      terminations_(io_, SIGTERM, SIGINT),
      reloads_(io_, SIGHUP) {
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::run() {
    while (!io_.stopped()) {
        deadlines_.run_due();
        const auto next = deadlines_.next();
        if (next > std::chrono::steady_clock::now()) {
            io_.run_one_until(next);
        } else {
            io_.poll_one();
        }
    }
}

void EventLoop::post(std::function<void()> what) {
    asio::post(io_, [this, what = std::move(what)] {
        deadlines_.update_now();
        what();
    });
}

void EventLoop::on_signals(std::function<void()> terminate, std::function<void()> reload) {
    terminate_ = std::move(terminate);
    reload_ = std::move(reload);
    wait_for_termination();
    wait_for_reload();
}

void EventLoop::wait_for_termination() {
    terminations_.async_wait([this](const std::error_code& fault, int) {
        if (fault) return;
        deadlines_.update_now();
        terminate_();
        wait_for_termination();
    });
}

void EventLoop::wait_for_reload() {
    reloads_.async_wait([this](const std::error_code& fault, int) {
        if (fault) return;
        deadlines_.update_now();
        reload_();
        wait_for_reload();
    });
}

void Timer::start(Time from_now, std::function<void()> what) {
    cancel();
    pending_ = true;
    key_ = loop_.deadlines().after(from_now, [this, what = std::move(what)] {
        pending_ = false;
        key_ = {};
        what();
    });
}

void Timer::cancel() {
    if (pending_) loop_.deadlines().cancel(key_);
    pending_ = false;
}

}  // namespace dewweir::runtime
