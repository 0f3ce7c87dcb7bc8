// What every part of the rig works with: one loop, one thread, the gateway's own connections and deadlines.
// Owns all three; a part must never run the loop itself.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "net/connections.h"
#include "net/deadlines.h"

namespace dewweir::rig {

using asio::ip::tcp;

struct Loop {
    asio::io_context io{1};
    net::Deadlines deadlines{1};
    net::Connections connections;

    explicit Loop(std::size_t most_connections) : connections(io, deadlines, most_connections) {}
    // Until `io` is stopped.
    void run();
};

// A listening socket on loopback: owns it. Closed, its port refuses; it can be opened there again.
class Door {
  public:
    // Port 0: one the system chooses. Throws errors::CannotListen naming the address when it is taken.
    Door(Loop& loop, const tcp::endpoint& at, std::function<void(tcp::socket)> taken);
    const tcp::endpoint& address() const { return at_; }
    void open();
    void close();
    // As behind a cut line: no handshake comes to its end, and those that wait are taken in once it is over.
    void silence(bool on);

  private:
    void accept();

    Loop& loop_;
    tcp::endpoint at_;
    tcp::socket holder_;  // bound and never used: a closed door's port goes to nobody else
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> fillers_;  // what makes the system's line of handshakes full, while silent
    std::vector<std::uint16_t> filler_ports_;  // so that none of them is taken for a caller
    std::function<void(tcp::socket)> taken_;
};

tcp::endpoint loopback(std::uint16_t port = 0);
std::string text_of(const tcp::endpoint& at);

}  // namespace dewweir::rig
