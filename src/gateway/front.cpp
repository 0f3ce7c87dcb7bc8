#include "gateway/front.h"

#include "api/status.h"

namespace dewweir::gateway {
namespace {

// How much of a request's body may wait here before the client is read no further, in bytes.
constexpr std::size_t body_window = 128u << 10;
// Part of all connections that stays free for upstream hosts.
constexpr double reserved_connections = 0.3;
constexpr int request_timeout = 408;
// A client that ends its sending with its request, or so soon after, still reads; one that does later has
// left.
constexpr runtime::Time half_close_limit = 100 * runtime::tenths_per_millisecond;

}  // namespace

Front::Front(runtime::EventLoop& loop, RequestUser& user) : loop_(loop), user_(user) { set_limits({}); }

std::optional<std::string> Front::listen(const asio::ip::tcp::endpoint& address) {
    listener_.emplace(loop_, [this](asio::ip::tcp::socket socket) { accepted(std::move(socket)); });
    return listener_->listen(address);
}

void Front::set_limits(const configuration::ClientLimits& limits) {
    limits_ = limits;
    reader_limits_.head = limits.max_header_bytes;
    reader_limits_.body = limits.max_body_bytes;
    reader_limits_.window = body_window;
    reader_limits_.chunked_requests = true;
}

void Front::drain() {
    draining_ = true;
    close_idle();
}

// One on which something has come that was not read yet is left: its request is answered.
void Front::close_idle() {
    std::vector<ClientId> idle;
    clients_.each([&](ClientId id, Client& client) {
        if (client.state == State::idle) idle.push_back(id);
    });
    for (const ClientId id : idle) {
        Client& client = *clients_.find(id);
        if (loop_.connections().is_quiet(client.connection)) close(id, client);
    }
}

void Front::stop_listening() {
    if (listener_) listener_->close();
    close_idle();
}

void Front::accepted(asio::ip::tcp::socket socket) {
    if (!loop_.connections().has_room(reserved_connections)) return;  // closes it
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

void Front::await_request(ClientId id, Client& client) {
    client.state = State::idle;
    client.reader.next();
    client.reader.set_limits(reader_limits_);
    set_deadline(id, client, runtime::tenths(limits_.idle_timeout));
}

void Front::set_deadline(ClientId id, Client& client, runtime::Time from_now) {
    loop_.deadlines().cancel(client.deadline);
    client.deadline = loop_.deadlines().after(from_now, [this, id] { deadline_passed(id); });
}

void Front::deadline_passed(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    client->deadline = {};
    if (client->state == State::idle) return close(id, *client);
    if (client->state == State::head) return refuse(id, *client, request_timeout);
    if (client->state != State::body) return;
    if (!client->reader.body().empty()) {  // it waits for a host, not for the client
        return set_deadline(id, *client, runtime::tenths(limits_.idle_timeout));
    }
    // Its body has stopped coming. Part of it may be with a host, so this is no promise.
    close(id, *client);
    user_.client_left(id);
}

void Front::received(net::Handle, std::uint32_t id) {
    if (Client* const client = clients_.find(id)) read(id, *client);
}

void Front::read(ClientId id, Client& client) {
    if (client.state == State::answering) {     // what comes waits in the ring until this one is answered
        user_.request_body(id, client.reader);  // that it did not take all of before
        return;
    }
    net::Ring& ring = loop_.connections().in(client.connection);
    const net::HttpReader::State state = client.reader.read(ring);
    if (state == net::HttpReader::State::bad) {
        if (client.state != State::body) return refuse(id, client, client.reader.fault());
        const int fault = client.reader.fault();
        user_.client_left(id);
        if (Client* const left = clients_.find(id)) refuse(id, *left, fault);
        return;
    }
    if (client.state == State::idle && client.reader.begun()) {
        client.state = State::head;
        set_deadline(id, client, runtime::tenths(limits_.header_timeout));
    }
    if (client.state == State::head && client.reader.head_read()) return head_read(id);
    if (client.state == State::body) body_read(id, client);
}

void Front::body_read(ClientId id, Client& client) {
    if (client.reader.complete()) {
        client.state = State::answering;
        client.request_ended = loop_.now();
        loop_.deadlines().cancel(client.deadline);
    } else {
        set_deadline(id, client, runtime::tenths(limits_.idle_timeout));
    }
    user_.request_body(id, client.reader);
    Client* const left = clients_.find(id);
    // What the user did not take stays, and is read on by `read_on`.
    if (!left || left->state != State::body || !left->reader.body().empty()) return;
    if (!loop_.connections().in(left->connection).empty()) loop_.connections().redeliver(left->connection);
}

void Front::invite_body(Client& client) {
    if (!client.reader.begun() || client.reader.body_read() > 0) return;
    if (!net::equal_ignoring_case(client.reader.field("Expect"), "100-continue")) return;
    loop_.connections().send(client.connection, {"HTTP/1.1 100 Continue\r\n\r\n"});
}

void Front::head_read(ClientId id) {
    Client* client = clients_.find(id);
    loop_.deadlines().cancel(client->deadline);
    client->state = client->reader.complete() ? State::answering : State::body;
    client->request_ended = loop_.now();
    user_.request_begun(id, client->reader);
    client = clients_.find(id);
    if (!client || !client->reader.begun()) return;  // answered at once
    if (client->state == State::body) invite_body(*client);
    if (client->state == State::answering || client->state == State::body) body_read(id, *client);
}

void Front::read_on(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    if (client->state == State::body || client->state == State::answering)
        loop_.connections().redeliver(client->connection);
}

// Wrong in itself: answered and closed, and nothing behind it is read as a request.
void Front::refuse(ClientId id, Client& client, int status) {
    AnswerHead head{status};
    head.length = 0;
    client.close_after = true;
    client.state = State::answering;
    send_head(client, head, {});
    answered(id, client);
}

void Front::send_head(Client& client, const AnswerHead& head, std::string_view body) {
    const bool keep = client.reader.keep_alive() && client.state == State::answering && !draining_;
    client.close_after |= !keep;
    client.close_after |= client.half_closed && loop_.connections().in(client.connection).empty();
    std::string text = "HTTP/1.1 ";
    const std::string_view line = api::status_line(head.status);
    if (line.empty()) {
        text.append(std::to_string(head.status)).append(" Status");
    } else {
        text.append(line);
    }
    text.append("\r\n").append(head.fields);
    if (client.close_after) text.append("Connection: close\r\n");
    if (head.bodiless && !head.length) {
        text.append("\r\n");
    } else if (head.length) {
        text.append("Content-Length: ").append(std::to_string(*head.length)).append("\r\n\r\n");
    } else {
        text.append("Transfer-Encoding: chunked\r\n\r\n");
    }
    client.chunked_answer = !head.length && !head.bodiless;
    loop_.connections().send(client.connection, {text, body});
}

void Front::answer(ClientId id, const AnswerHead& head, std::string_view body) {
    Client* const client = clients_.find(id);
    if (!client) return;
    AnswerHead sized = head;
    if (!head.bodiless) sized.length = body.size();
    send_head(*client, sized, body);
    answered(id, *client);
}

void Front::begin_answer(ClientId id, const AnswerHead& head) {
    if (Client* const client = clients_.find(id)) send_head(*client, head, {});
}

void Front::continue_answer(ClientId id, std::string_view body) {
    Client* const client = clients_.find(id);
    if (!client || body.empty()) return;
    if (!client->chunked_answer) {
        loop_.connections().send(client->connection, {body});
        return;
    }
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    loop_.connections().send(client->connection, {size, body, "\r\n"});
}

void Front::end_answer(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    if (client->chunked_answer) loop_.connections().send(client->connection, {"0\r\n\r\n"});
    answered(id, *client);
}

void Front::answered(ClientId id, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    if (client.close_after) {
        loop_.connections().close_gracefully(client.connection);
        clients_.remove(id);
        return;
    }
    await_request(id, client);
    loop_.connections().redeliver(client.connection);
}

void Front::abort(ClientId id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    loop_.deadlines().cancel(client->deadline);
    loop_.connections().reset(client->connection);
    clients_.remove(id);
}

std::size_t Front::unsent(ClientId id) {
    const Client* const client = clients_.find(id);
    return client ? loop_.connections().unsent_bytes(client->connection) : 0;
}

void Front::ended(net::Handle, std::uint32_t id) {
    Client* const client = clients_.find(id);
    if (!client) return;
    const bool told = client->state == State::body || client->state == State::answering;
    loop_.deadlines().cancel(client->deadline);
    clients_.remove(id);
    if (told) user_.client_left(id);
}

bool Front::keeps_half_closed(net::Handle, std::uint32_t id) {
    Client* const client = clients_.find(id);
    if (!client || client->state != State::answering) return false;
    if (loop_.now() - client->request_ended > half_close_limit) return false;
    client->half_closed = true;
    return true;
}

void Front::drained(net::Handle, std::uint32_t id) {
    if (clients_.find(id)) user_.client_writable(id);
}

void Front::close(ClientId id, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    loop_.connections().close(client.connection);
    clients_.remove(id);
}

}  // namespace dewweir::gateway
