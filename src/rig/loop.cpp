#include "loop.h"

#include <sys/socket.h>

#include <chrono>

#include "errors/errors.h"

namespace dewweir::rig {

void Loop::run() {
    while (!io.stopped()) {
        deadlines.run_due();
        // Due at once or not: sockets have their turn between any two rounds of deadlines.
        const auto next = deadlines.next();
        if (next > std::chrono::steady_clock::now()) io.run_one_until(next);
        else io.poll_one();
    }
}

tcp::endpoint loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

std::string text_of(const tcp::endpoint& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

Door::Door(Loop& loop, const tcp::endpoint& at, std::function<void(tcp::socket)> taken)
    : loop_(loop), at_(at), holder_(loop.io), acceptor_(loop.io), taken_(std::move(taken)) {
    std::error_code fault;
    holder_.open(tcp::v4());
    holder_.set_option(tcp::socket::reuse_address(true));
    holder_.bind(at_, fault);
    if (fault) throw errors::CannotListen("listen at " + text_of(at_), fault.message());
    at_ = holder_.local_endpoint();
    open();
}

void Door::open() {
    if (acceptor_.is_open()) return;
    std::error_code fault;
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at_, fault);
    if (!fault) acceptor_.listen(asio::socket_base::max_listen_connections, fault);
    if (fault) {
        acceptor_.close();
        throw errors::CannotListen("listen at " + text_of(at_), fault.message());
    }
    acceptor_.non_blocking(true);
    accept();
}

void Door::silence(bool on) {
    if (!acceptor_.is_open() || on == !fillers_.empty()) return;
    std::error_code ignored;
    if (!on) {
        fillers_.clear();
        acceptor_.listen(asio::socket_base::max_listen_connections, ignored);
        return accept();
    }
    // The system answers a handshake by itself as long as there is room in its line, and drops it after: so
    // the line is made as short as it gets, and filled.
    acceptor_.cancel(ignored);
    acceptor_.listen(0, ignored);
    for (int n = 0; n < 2; ++n) {
        tcp::socket& one = fillers_.emplace_back(loop_.io, tcp::v4());
        one.non_blocking(true, ignored);
        // Not by Asio, which would wait for the second one.
        static_cast<void>(::connect(one.native_handle(), at_.data(), static_cast<socklen_t>(at_.size())));
        filler_ports_.push_back(one.local_endpoint(ignored).port());
    }
}

void Door::close() {
    std::error_code ignored;
    fillers_.clear();
    filler_ports_.clear();
    acceptor_.close(ignored);
}

void Door::accept() {
    acceptor_.async_accept([this](const std::error_code& fault, tcp::socket socket) {
        if (!acceptor_.is_open() || fault == asio::error::operation_aborted) return;
        loop_.deadlines.update_now();
        if (!fault) {
            std::error_code gone;
            const tcp::endpoint from = socket.remote_endpoint(gone);
            if (std::erase(filler_ports_, from.port()) == 0) taken_(std::move(socket));
            if (fillers_.empty()) accept();
            return;
        }
        // Out of descriptors, most likely: those who wait stay with the system for a moment.
        loop_.deadlines.after(50, [this] {
            if (acceptor_.is_open() && fillers_.empty()) accept();
        });
    });
}

}  // namespace dewweir::rig
