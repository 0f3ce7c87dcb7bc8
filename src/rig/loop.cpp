#include "loop.h"

#include <chrono>
#include <system_error>

namespace dewweir::rig {

void Loop::run() {
    while (!io.stopped()) {
        deadlines.run_passed();
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
    if (fault) throw std::system_error(fault, "listen at " + text_of(at_));
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
        throw std::system_error(fault, "listen at " + text_of(at_));
    }
    acceptor_.non_blocking(true);
    accept();
}

void Door::close() {
    std::error_code ignored;
    acceptor_.close(ignored);
}

void Door::accept() {
    acceptor_.async_accept([this](const std::error_code& fault, tcp::socket socket) {
        if (!acceptor_.is_open() || fault == asio::error::operation_aborted) return;
        loop_.deadlines.turn();
        if (!fault) {
            taken_(std::move(socket));
            return accept();
        }
        // Out of descriptors, most likely: those who wait stay with the system for a moment.
        loop_.deadlines.after(50, [this] {
            if (acceptor_.is_open()) accept();
        });
    });
}

}  // namespace dewweir::rig
