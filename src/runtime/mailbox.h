// Brings calls from other threads to the event loop: a queue under a lock, and an eventfd that wakes the
// loop.
#pragma once

#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <mutex>
#include <vector>

#include "runtime/event_loop.h"

namespace dewweir::runtime {

class Mailbox {
  public:
    // Throws std::system_error where no descriptor can be had.
    explicit Mailbox(EventLoop& loop);

    // May be called from any thread.
    void post(std::function<void()> what);

  private:
    void wait();
    void run_all();

    EventLoop& loop_;
    asio::posix::stream_descriptor wakeups_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;  // under the lock
};

}  // namespace dewweir::runtime
