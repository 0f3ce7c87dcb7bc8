#include "runtime/listener.h"

namespace dewweir::runtime {
namespace {

// After a failed accept (no descriptor left, say) the next is tried this much later.
constexpr Time accept_pause = 50 * tenths_per_millisecond;

}  // namespace

Listener::Listener(EventLoop& loop, Accepted accepted)
    : loop_(loop), accepted_(std::move(accepted)), acceptor_(loop.io()) {}

std::optional<std::string> Listener::listen(const asio::ip::tcp::endpoint& address) {
    std::error_code fault;
    acceptor_.open(asio::ip::tcp::v4(), fault);
    if (!fault) acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), fault);
    if (!fault) acceptor_.bind(address, fault);
    if (!fault) acceptor_.listen(asio::socket_base::max_listen_connections, fault);
    if (!fault) acceptor_.non_blocking(true, fault);
    if (fault) return fault.message();
    accept();
    return std::nullopt;
}

void Listener::close() {
    std::error_code ignored;
    acceptor_.close(ignored);
}

void Listener::accept() {
    acceptor_.async_accept([this](const std::error_code& fault, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) return;
        loop_.deadlines().update_now();
        if (fault) {
            loop_.deadlines().after(accept_pause, [this] { accept(); });
            return;
        }
        accepted_(std::move(socket));
        accept();
    });
}

}  // namespace dewweir::runtime
