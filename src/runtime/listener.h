// A listening TCP socket. Hands each accepted connection to its owner; it must never read from one.
#pragma once

#include <asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "runtime/event_loop.h"

namespace dewweir::runtime {

class Listener {
  public:
    using Accepted = std::function<void(asio::ip::tcp::socket)>;

    Listener(EventLoop& loop, Accepted accepted);

    // Returns why the address cannot be listened on, or nothing once it is.
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    void close();

  private:
    void accept();

    EventLoop& loop_;
    Accepted accepted_;
    asio::ip::tcp::acceptor acceptor_;
};

}  // namespace dewweir::runtime
