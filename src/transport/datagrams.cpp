#include "transport/datagrams.h"

#include <asio/buffer.hpp>

namespace dewweir::transport {

Datagrams::Datagrams(runtime::EventLoop& loop, Received received)
    : loop_(loop), received_(std::move(received)), socket_(loop.io()) {}

std::optional<std::string> Datagrams::bind(const asio::ip::udp::endpoint& address) {
    std::error_code fault;
    socket_.open(asio::ip::udp::v4(), fault);
    if (!fault) socket_.bind(address, fault);
    if (!fault) socket_.non_blocking(true, fault);
    if (fault) return fault.message();
    wait();
    return std::nullopt;
}

void Datagrams::send(const asio::ip::udp::endpoint& to, const wire::Message& message) {
    const std::string bytes = wire::encode(message);
    std::error_code ignored;  // as if it had been lost
    socket_.send_to(asio::buffer(bytes), to, 0, ignored);
}

void Datagrams::wait() {
    socket_.async_wait(asio::ip::udp::socket::wait_read, [this](const std::error_code& fault) {
        if (fault) return;
        loop_.deadlines().update_now();
        read_all();
        wait();
    });
}

void Datagrams::read_all() {
    std::error_code fault;
    while (!fault) {
        asio::ip::udp::endpoint from;
        const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, fault);
        if (fault) return;
        const std::optional<wire::Message> message = wire::decode({buffer_.data(), size});
        if (message) received_(from, *message);
    }
}

}  // namespace dewweir::transport
