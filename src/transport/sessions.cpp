#include "transport/sessions.h"

namespace dewweir::transport {

Sessions::Sessions(runtime::EventLoop& loop) : loop_(loop) {}

std::optional<std::string> Sessions::listen(const asio::ip::tcp::endpoint& address, SessionUser& user) {
    listener_.emplace(loop_,
                      [this, &user](asio::ip::tcp::socket socket) { accepted(std::move(socket), user); });
    return listener_->listen(address);
}

void Sessions::accepted(asio::ip::tcp::socket socket, SessionUser& user) {
    const SessionId id = sessions_.add(Session{&user});
    if (!id) return;
    Session& session = *sessions_.find(id);
    session.up = true;
    session.connection = loop_.connections().adopt(std::move(socket), *this, id);
    if (!session.connection) sessions_.remove(id);
}

SessionId Sessions::open(const asio::ip::tcp::endpoint& address, SessionUser& user, runtime::Time within) {
    const SessionId id = sessions_.add(Session{&user});
    if (!id) return 0;
    const net::Handle connection = loop_.connections().open(address, *this, id, within);
    if (!connection) {
        sessions_.remove(id);
        return 0;
    }
    sessions_.find(id)->connection = connection;
    return id;
}

void Sessions::send(SessionId session, const wire::Message& message) {
    send_frame(session, wire::frame(message));
}

void Sessions::send_frame(SessionId id, const std::string& frame) {
    const Session* const session = sessions_.find(id);
    if (session && session->connection) loop_.connections().send(session->connection, {frame});
}

std::size_t Sessions::unsent_bytes(SessionId id) {
    const Session* const session = sessions_.find(id);
    return session && session->connection ? loop_.connections().unsent_bytes(session->connection) : 0;
}

void Sessions::close(SessionId id) {
    const Session* const session = sessions_.find(id);
    if (!session) return;
    if (session->connection) loop_.connections().close(session->connection);
    sessions_.remove(id);
}

void Sessions::opened(net::Handle, std::uint32_t id, bool up) {
    Session* const session = sessions_.find(id);
    if (!session) return;
    session->up = up;
    if (!up) {
        session->connection = 0;
        lost(id);
        return;
    }
    session->user->session_opened(id);
}

void Sessions::received(net::Handle connection, std::uint32_t id) {
    Session* const session = sessions_.find(id);
    if (!session) return;
    net::Ring& ring = loop_.connections().in(connection);
    for (const std::string_view part : ring.filled()) session->received.append(part);
    ring.consume(ring.size());
    deliver(id);
}

void Sessions::deliver(SessionId id) {
    std::size_t taken = 0;
    for (Session* session = sessions_.find(id); session; session = sessions_.find(id)) {
        const std::string_view rest = std::string_view(session->received).substr(taken);
        if (rest.size() < wire::frame_header_bytes) break;
        const std::size_t length = wire::frame_length(rest);
        if (length > wire::most_frame_bytes) return lost(id);
        if (rest.size() < wire::frame_header_bytes + length) break;
        std::optional<wire::Message> message = wire::decode(rest.substr(wire::frame_header_bytes, length));
        if (!message) return lost(id);
        taken += wire::frame_header_bytes + length;
        session->user->session_received(id, std::move(*message));
    }
    if (Session* const session = sessions_.find(id)) {
        session->received.erase(0, taken);
        if (session->received.empty()) session->received.shrink_to_fit();
    }
}

void Sessions::ended(net::Handle, std::uint32_t id) {
    Session* const session = sessions_.find(id);
    if (!session) return;
    session->connection = 0;  // given back right after this
    lost(id);
}

void Sessions::lost(SessionId id) {
    Session* const session = sessions_.find(id);
    if (!session) return;
    SessionUser* const user = session->user;
    close(id);
    user->session_closed(id);
}

}  // namespace dewweir::transport
