// All TCP connections of a process except the listening socket: owns them in one table, with one ring buffer
// per direction, and is the only place that closes them. Connections does not interpret the bytes. It never
// calls a handler from within a call made by that handler: immediate results are delivered in the next
// iteration of the event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <initializer_list>
#include <string_view>

#include "deadlines.h"
#include "ring.h"
#include "slots.h"

namespace dewweir::net {

using asio::ip::tcp;

// Callbacks of a connection's owner. `mark` is the number that the owner passed to `adopt` or `open`.
class ConnectionHandler {
  public:
    virtual ~ConnectionHandler() = default;
    // A connection made by `open` is established, or has failed and is closed.
    virtual void opened(Handle, std::uint32_t /*mark*/, bool /*connected*/) {}
    // Bytes have arrived in the input ring.
    virtual void received(Handle, std::uint32_t mark) = 0;
    // The peer has closed or reset the connection; it is released right after this call.
    virtual void ended(Handle, std::uint32_t mark) = 0;
    // The output ring has become empty after a write that had to wait for the peer.
    virtual void drained(Handle, std::uint32_t /*mark*/) {}
    // The peer has shut down its sending side. Return true to keep the connection for sending; false has
    // `ended` follow.
    virtual bool keeps_half_closed(Handle, std::uint32_t /*mark*/) { return false; }
};

class Connections {
  public:
    // `max_connections`: soft limit of all owners together; each owner checks `has_room` before it adds a
    // connection.
    Connections(asio::io_context& io, Deadlines& deadlines, std::size_t max_connections)
        : io_(io), deadlines_(deadlines), max_connections_(max_connections) {}

    // Whether one more connection leaves the fraction `free`, 0 to 1, of the limit unused.
    bool has_room(double free) const {
        return static_cast<double>(connections_.size()) < static_cast<double>(max_connections_) * (1 - free);
    }

    // Takes over an accepted socket. Returns 0 and closes the socket when the table is full.
    Handle adopt(tcp::socket socket, ConnectionHandler& user, std::uint32_t mark);
    // Connects to `to`; gives up after `timeout`. `opened` is called in every case unless the connection is
    // closed before. Returns 0 when the table is full.
    Handle open(const tcp::endpoint& to, ConnectionHandler& user, std::uint32_t mark, Time timeout);

    // Bytes received and not yet consumed.
    Ring& in(Handle handle) { return connections_.find(handle)->in; }
    // Bytes not yet handed to the kernel.
    std::size_t unsent_bytes(Handle handle) { return connections_.find(handle)->out.size(); }
    // Whether nothing is unread: no byte in the ring or in the kernel, and no end of stream.
    bool is_quiet(Handle handle);
    void send(Handle handle, std::initializer_list<std::string_view> parts);
    // Calls `received` again in the next loop iteration, for bytes left in the ring.
    void redeliver(Handle handle);
    void close(Handle handle);
    // Closes with a TCP reset instead of an orderly end.
    void reset(Handle handle);
    // Closes gracefully: sends the remaining output while the peer makes progress, shuts down the sending
    // side and waits a short time for the peer to close, since closing with unread input would reset the
    // connection and lose the last response. The handler gets no further calls.
    void close_gracefully(Handle handle);
    std::size_t closing() const { return closing_; }

  private:
    struct Connection {
        tcp::socket socket;
        ConnectionHandler* user;
        std::uint32_t mark;
        bool connected = false, reading = false, writing = false, closing = false;
        bool peer_ended_sending = false;  // the peer has shut down its sending side
        Ring in{}, out{};
        std::size_t discarded = 0;  // input bytes dropped while closing
        Deadlines::Key deadline{};
    };

    void connect_ended(Handle handle, bool connected);
    void read(Handle handle);
    void readable(Handle handle, std::error_code fault);
    void write(Handle handle);
    void post_ended(Handle handle);
    void ended(Handle handle);
    void set_close_deadline(Handle handle, Time from_now);
    void end_sending(Handle handle);

    asio::io_context& io_;
    Deadlines& deadlines_;
    std::size_t max_connections_;
    Slots<Connection> connections_;
    std::size_t closing_ = 0;
};

}  // namespace dewweir::net
