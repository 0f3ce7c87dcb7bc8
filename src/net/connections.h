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
class User {
  public:
    virtual ~User() = default;
    virtual void opened(Handle, std::uint32_t /*mark*/, bool /*up*/) {}
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
    Connections(asio::io_context& io, Deadlines& deadlines, std::size_t most)
        : io_(io), deadlines_(deadlines), most_(most) {}

    // Whether there is room for one more when this part of all, 0 to 1, is to stay free.
    bool room(double free) const {
        return static_cast<double>(connections_.size()) < static_cast<double>(most_) * (1 - free);
    }

    // 0 when the table is full: the socket is closed then.
    Handle adopt(tcp::socket socket, User& user, std::uint32_t mark);
    // `opened` is told in every case, unless it is closed before.
    Handle open(const tcp::endpoint& to, User& user, std::uint32_t mark, Time within);

    Ring& in(Handle handle) { return connections_.find(handle)->in; }
    // Bytes not yet handed to the system.
    std::size_t unsent(Handle handle) { return connections_.find(handle)->out.size(); }
    // Nothing has come that nobody has looked at: no byte, here or with the system, and not the peer's end.
    bool quiet(Handle handle);
    void send(Handle handle, std::initializer_list<std::string_view> parts);
    // Tells `received` once more in the next turn, for bytes that were left in the ring.
    void again(Handle handle);
    void close(Handle handle);
    // Closes it so that the peer hears of a reset, not of an end.
    void reset(Handle handle);
    // Sends what is left for as long as the peer takes some of it now and then, ends its sending and waits a little
    // for the peer to close: closing over unread bytes would take the last answer away from it. The user hears no more of it.
    void finish(Handle handle);
    std::size_t finishing() const { return finishing_; }

  private:
    struct Connection {
        tcp::socket socket;
        User* user;
        std::uint32_t mark;
        bool up = false, reading = false, writing = false, finishing = false;
        bool half_closed = false;  // the peer sends no more
        Ring in{}, out{};
        std::size_t discarded = 0;  // of what came once it was finishing
        Deadlines::Key deadline{};
    };

    void connected(Handle handle, bool up);
    void read(Handle handle);
    void readable(Handle handle, std::error_code fault);
    void write(Handle handle);
    void later_ended(Handle handle);
    void ended(Handle handle);
    void close_after(Handle handle, Time from_now);
    void end_sending(Handle handle);

    asio::io_context& io_;
    Deadlines& deadlines_;
    std::size_t most_;
    Slots<Connection> connections_;
    std::size_t finishing_ = 0;
};

}  // namespace dewweir::net
