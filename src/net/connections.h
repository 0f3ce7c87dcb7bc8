// All sockets but the listening one: owns every connection in one table, with one ring a direction, and is
// the one place where a connection is given back. It must never know what the bytes mean, and never calls a
// user from within a call of that user's: what is known at once is told in the loop's next turn.
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

// Whoever has a connection. `mark` is a number of its own, given back with each call.
class ConnectionHandler {
  public:
    virtual ~ConnectionHandler() = default;
    virtual void opened(Handle, std::uint32_t /*mark*/, bool /*connected*/) {}
    virtual void received(Handle, std::uint32_t mark) = 0;
    // The peer has closed or broken it; it is given back right after.
    virtual void ended(Handle, std::uint32_t mark) = 0;
    virtual void drained(Handle, std::uint32_t /*mark*/) {}
    // The peer sends no more. True: it may still read, so the connection stays; false: `ended` follows.
    virtual bool keeps_half_closed(Handle, std::uint32_t /*mark*/) { return false; }
};

class Connections {
  public:
    // `most`: what all of them together should keep to; each user asks `room` before it adds to them.
    Connections(asio::io_context& io, Deadlines& deadlines, std::size_t max_connections)
        : io_(io), deadlines_(deadlines), max_connections_(max_connections) {}

    // Whether there is room for one more when this part of all, 0 to 1, is to stay free.
    bool has_room(double free) const {
        return static_cast<double>(connections_.size()) < static_cast<double>(max_connections_) * (1 - free);
    }

    // 0 when the table is full: the socket is closed then.
    Handle adopt(tcp::socket socket, ConnectionHandler& user, std::uint32_t mark);
    // `opened` is told in every case, unless it is closed before.
    Handle open(const tcp::endpoint& to, ConnectionHandler& user, std::uint32_t mark, Time timeout);

    Ring& in(Handle handle) { return connections_.find(handle)->in; }
    // Bytes not yet handed to the system.
    std::size_t unsent_bytes(Handle handle) { return connections_.find(handle)->out.size(); }
    // Nothing has come that nobody has looked at: no byte, here or with the system, and not the peer's end.
    bool is_quiet(Handle handle);
    void send(Handle handle, std::initializer_list<std::string_view> parts);
    // Tells `received` once more in the next turn, for bytes that were left in the ring.
    void redeliver(Handle handle);
    void close(Handle handle);
    // Closes it so that the peer hears of a reset, not of an end.
    void reset(Handle handle);
    // Sends what is left for as long as the peer takes some of it now and then, ends its sending and waits a
    // little for the peer to close: closing over unread bytes would take the last answer away from it. The
    // user hears no more of it.
    void close_gracefully(Handle handle);
    std::size_t closing() const { return closing_; }

  private:
    struct Connection {
        tcp::socket socket;
        ConnectionHandler* user;
        std::uint32_t mark;
        bool connected = false, reading = false, writing = false, closing = false;
        bool peer_ended_sending = false;  // the peer sends no more
        Ring in{}, out{};
        std::size_t discarded = 0;  // of what came once it was closing
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
