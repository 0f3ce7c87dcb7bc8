#include "runtime/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <system_error>

namespace dewweir::runtime {
namespace {

int make_eventfd() {
    const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (descriptor < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
    return descriptor;
}

}  // namespace

Mailbox::Mailbox(EventLoop& loop) : loop_(loop), wakeups_(loop.io(), make_eventfd()) { wait(); }

void Mailbox::post(std::function<void()> what) {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(what));
    if (posted_.size() > 1) return;  // a wake-up is on its way
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(wakeups_.native_handle(), &one, sizeof one);
}

void Mailbox::wait() {
    wakeups_.async_wait(asio::posix::stream_descriptor::wait_read, [this](const std::error_code& fault) {
        if (fault) return;
        loop_.deadlines().update_now();
        run_all();
        wait();
    });
}

void Mailbox::run_all() {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t read_bytes = read(wakeups_.native_handle(), &count, sizeof count);
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(mutex_);
        calls.swap(posted_);
    }
    for (const std::function<void()>& call : calls) call();
}

}  // namespace dewweir::runtime
