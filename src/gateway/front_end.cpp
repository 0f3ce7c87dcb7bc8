#include "gateway/front_end.h"

#include "api/status.h"

namespace dewweir::gateway {
namespace {

// Most bytes of a request body that are buffered before reading from the client pauses.
constexpr std::size_t max_buffered_body_bytes = 128u << 10;
// Fraction of the process's connections that client connections leave free for upstream connections.
constexpr double reserved_connection_fraction = 0.3;
constexpr int status_request_timeout = 408;
// A client that shuts down its sending side this soon after its request is taken to still read the response;
// one that does so later is taken to have disconnected.
constexpr runtime::Time half_close_limit = 100 * runtime::tenths_per_millisecond;

}  // namespace

FrontEnd::FrontEnd(runtime::EventLoop& loop, ClientRequestHandler& handler) : loop_(loop), handler_(handler) {
    set_limits({});
}

std::optional<std::string> FrontEnd::listen(const asio::ip::tcp::endpoint& address) {
    listener_.emplace(loop_, [this](asio::ip::tcp::socket socket) { accepted(std::move(socket)); });
    return listener_->listen(address);
}

void FrontEnd::set_limits(const configuration::ClientLimits& limits) {
    limits_ = limits;
    reader_limits_.head = limits.max_header_bytes;
    reader_limits_.body = limits.max_body_bytes;
    reader_limits_.window = max_buffered_body_bytes;
    reader_limits_.chunked_requests = true;
}

void FrontEnd::drain() {
    draining_ = true;
    close_idle();
}

// A connection with unread bytes is kept, so that the request in them is answered.
void FrontEnd::close_idle() {
    std::vector<ClientId> idle;
    clients_.each([&](ClientId id, Client& client) {
        if (client.state == State::idle) idle.push_back(id);
    });
    for (const ClientId id : idle) {
        Client& client = *clients_.find(id);
        if (loop_.connections().is_quiet(client.connection)) close(id, client);
    }
}

void FrontEnd::stop_listening() {
    if (listener_) listener_->close();
    close_idle();
}

void FrontEnd::accepted(asio::ip::tcp::socket socket) {
    if (!loop_.connections().has_room(reserved_connection_fraction))
        return;  // the socket's destructor closes it
    const ClientId id = clients_.add(reader_limits_);
    if (!id) return;
    Client& client = *clients_.find(id);
    client.connection = loop_.connections().adopt(std::move(socket), *this, id);
    if (!client.connection) {
        clients_.remove(id);
        return;
    }
    await_request(id, client);
}

void FrontEnd::await_request(ClientId id, Client& client) {
    client.state = State::idle;
    client.reader.next();
    client.reader.set_limits(reader_limits_);
    set_deadline(id, client, runtime::tenths(limits_.idle_timeout));
}

void FrontEnd::set_deadline(ClientId id, Client& client, runtime::Time from_now) {
    loop_.deadlines().cancel(client.deadline);
    client.deadline = loop_.deadlines().after(from_now, [this, id] { deadline_passed(id); });
}

void FrontEnd::deadline_passed(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    client->deadline = {};
    if (client->state == State::idle) return close(id, *client);
    if (client->state == State::reading_head) return reject(id, *client, status_request_timeout);
    if (client->state != State::reading_body) return;
    if (!client->reader.body().empty()) {  // the delay is the host's, not the client's
        return set_deadline(id, *client, runtime::tenths(limits_.idle_timeout));
    }
    // The body has stalled. A host may have received part of it, so no response may promise that it has not.
    close(id, *client);
    handler_.client_disconnected(id);
}

void FrontEnd::received(net::Handle, std::uint32_t id) {
    if (Client* const client = clients_.find(id)) read(id, *client);
}

void FrontEnd::read(ClientId id, Client& client) {
    // Bytes of the next request stay in the ring until the response is complete. The handler may still have
    // to take part of this request's body.
    if (client.state == State::responding) {
        handler_.request_body_available(id, client.reader);
        return;
    }
    net::Ring& ring = loop_.connections().in(client.connection);
    const net::HttpReader::State state = client.reader.read(ring);
    if (state == net::HttpReader::State::bad) {
        if (client.state != State::reading_body) return reject(id, client, client.reader.fault());
        const int status = client.reader.fault();
        handler_.client_disconnected(id);
        if (Client* const remaining = clients_.find(id)) reject(id, *remaining, status);
        return;
    }
    if (client.state == State::idle && client.reader.begun()) {
        client.state = State::reading_head;
        set_deadline(id, client, runtime::tenths(limits_.header_timeout));
    }
    if (client.state == State::reading_head && client.reader.head_read()) return handle_head(id);
    if (client.state == State::reading_body) handle_body(id, client);
}

void FrontEnd::handle_body(ClientId id, Client& client) {
    if (client.reader.complete()) {
        client.state = State::responding;
        client.request_ended_at = loop_.now();
        loop_.deadlines().cancel(client.deadline);
    } else {
        set_deadline(id, client, runtime::tenths(limits_.idle_timeout));
    }
    handler_.request_body_available(id, client.reader);
    Client* const remaining = clients_.find(id);
    // Bytes that the handler did not take stay in the reader until `resume_reading`.
    if (!remaining || remaining->state != State::reading_body || !remaining->reader.body().empty()) return;
    if (!loop_.connections().in(remaining->connection).empty())
        loop_.connections().redeliver(remaining->connection);
}

void FrontEnd::send_continue(Client& client) {
    if (!client.reader.begun() || client.reader.body_read() > 0) return;
    if (!net::equal_ignoring_case(client.reader.field("Expect"), "100-continue")) return;
    loop_.connections().send(client.connection, {"HTTP/1.1 100 Continue\r\n\r\n"});
}

void FrontEnd::handle_head(ClientId id) {
    Client* client = clients_.find(id);
    loop_.deadlines().cancel(client->deadline);
    client->state = client->reader.complete() ? State::responding : State::reading_body;
    client->request_ended_at = loop_.now();
    handler_.request_started(id, client->reader);
    client = clients_.find(id);
    if (!client || !client->reader.begun()) return;  // the handler has responded already
    if (client->state == State::reading_body) send_continue(*client);
    if (client->state == State::responding || client->state == State::reading_body) handle_body(id, *client);
}

void FrontEnd::resume_reading(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    if (client->state == State::reading_body || client->state == State::responding)
        loop_.connections().redeliver(client->connection);
}

// Responds to an invalid request and closes the connection: what follows cannot be read as a request.
void FrontEnd::reject(ClientId id, Client& client, int status) {
    ResponseHead head{status};
    head.length = 0;
    client.close_after_response = true;
    client.state = State::responding;
    send_head(client, head, {});
    response_complete(id, client);
}

void FrontEnd::send_head(Client& client, const ResponseHead& head, std::string_view body) {
    const bool keep_alive = client.reader.keep_alive() && client.state == State::responding && !draining_;
    client.close_after_response |= !keep_alive;
    client.close_after_response |= client.half_closed && loop_.connections().in(client.connection).empty();
    std::string text = "HTTP/1.1 ";
    const std::string_view line = api::status_line(head.status);
    if (line.empty()) {
        text.append(std::to_string(head.status)).append(" Status");
    } else {
        text.append(line);
    }
    text.append("\r\n").append(head.fields);
    if (client.close_after_response) text.append("Connection: close\r\n");
    if (head.no_body && !head.length) {
        text.append("\r\n");
    } else if (head.length) {
        text.append("Content-Length: ").append(std::to_string(*head.length)).append("\r\n\r\n");
    } else {
        text.append("Transfer-Encoding: chunked\r\n\r\n");
    }
    client.chunked_response = !head.length && !head.no_body;
    loop_.connections().send(client.connection, {text, body});
}

void FrontEnd::send_response(ClientId id, const ResponseHead& head, std::string_view body) {
    Client* const client = clients_.find(id);
    if (!client) return;
    ResponseHead sized = head;
    if (!head.no_body) sized.length = body.size();
    send_head(*client, sized, body);
    response_complete(id, *client);
}

void FrontEnd::begin_response(ClientId id, const ResponseHead& head) {
    if (Client* const client = clients_.find(id)) send_head(*client, head, {});
}

void FrontEnd::send_response_body(ClientId id, std::string_view body) {
    Client* const client = clients_.find(id);
    if (!client || body.empty()) return;
    if (!client->chunked_response) {
        loop_.connections().send(client->connection, {body});
        return;
    }
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    loop_.connections().send(client->connection, {size, body, "\r\n"});
}

void FrontEnd::end_response(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    if (client->chunked_response) loop_.connections().send(client->connection, {"0\r\n\r\n"});
    response_complete(id, *client);
}

void FrontEnd::response_complete(ClientId id, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    if (client.close_after_response) {
        loop_.connections().close_gracefully(client.connection);
        clients_.remove(id);
        return;
    }
    await_request(id, client);
    loop_.connections().redeliver(client.connection);
}

void FrontEnd::abort(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    loop_.deadlines().cancel(client->deadline);
    loop_.connections().reset(client->connection);
    clients_.remove(id);
}

std::size_t FrontEnd::unsent_bytes(ClientId id) {
    const Client* const client = clients_.find(id);
    return client ? loop_.connections().unsent_bytes(client->connection) : 0;
}

void FrontEnd::ended(net::Handle, std::uint32_t id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    const bool handler_notified = client->state == State::reading_body || client->state == State::responding;
    loop_.deadlines().cancel(client->deadline);
    clients_.remove(id);
    if (handler_notified) handler_.client_disconnected(id);
}

bool FrontEnd::keeps_half_closed(net::Handle, std::uint32_t id) {
    Client* const client = clients_.find(id);
    if (!client || client->state != State::responding) return false;
    if (loop_.now() - client->request_ended_at > half_close_limit) return false;
    client->half_closed = true;
    return true;
}

void FrontEnd::drained(net::Handle, std::uint32_t id) {
    if (clients_.find(id)) handler_.client_writable(id);
}

void FrontEnd::close(ClientId id, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    loop_.connections().close(client.connection);
    clients_.remove(id);
}

}  // namespace dewweir::gateway
