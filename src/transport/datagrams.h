// Single messages between the system's processes, over UDP: may be lost, doubled or reordered.
#pragma once

#include <array>
#include <asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "runtime/event_loop.h"
#include "wire/codec.h"

namespace dewweir::transport {

class Datagrams {
  public:
    using Received = std::function<void(const asio::ip::udp::endpoint& from, const wire::Message& message)>;

    Datagrams(runtime::EventLoop& loop, Received received);

    // Returns why the address can't be bound, or nothing once it is.
    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    void send(const asio::ip::udp::endpoint& to, const wire::Message& message);

  private:
    void wait();
    void read_all();

    runtime::EventLoop& loop_;
    Received received_;
    asio::ip::udp::socket socket_;
    std::array<char, 2048> buffer_{};
};

}  // namespace dewweir::transport
