// Streams of messages between the system's processes, over TCP. Owns every such connection and its framing;
// it must never know what a message means. A session that has ended is not opened again here: its user does
// that.
#pragma once

#include <optional>
#include <string>

#include "runtime/event_loop.h"
#include "runtime/listener.h"
#include "wire/codec.h"

namespace dewweir::transport {

using SessionId = net::Handle;  // 0 is none

class SessionUser {
  public:
    virtual ~SessionUser() = default;
    // A connection that this process asked for stands.
    virtual void session_opened(SessionId) {}
    virtual void session_received(SessionId, wire::Message&& message) = 0;
    // Could not be opened, or ended, or carried bytes that are no message.
    virtual void session_closed(SessionId) = 0;
};

class Sessions : net::ConnectionHandler {
  public:
    explicit Sessions(runtime::EventLoop& loop);

    // Sessions that others open belong to `user`. Returns why the address can't be listened on, else nothing.
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address, SessionUser& user);
    // 0 when there is no room. `session_opened` or `session_closed` follows.
    SessionId open(const asio::ip::tcp::endpoint& address, SessionUser& user, runtime::Time within);
    void send(SessionId session, const wire::Message& message);
    // Bytes of one frame that several sessions get.
    void send_frame(SessionId session, const std::string& frame);
    // Bytes that wait to be handed to the operating system.
    std::size_t unsent_bytes(SessionId session);
    // Its user hears no more of it.
    void close(SessionId session);

  private:
    struct Session {
        SessionUser* user;
        net::Handle connection = 0;
        std::string received{};
        bool up = false;
    };

    void accepted(asio::ip::tcp::socket socket, SessionUser& user);
    void opened(net::Handle connection, std::uint32_t mark, bool up) override;
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    void deliver(SessionId id);
    void lost(SessionId id);

    runtime::EventLoop& loop_;
    net::Slots<Session> sessions_;
    std::optional<runtime::Listener> listener_;
};

}  // namespace dewweir::transport
