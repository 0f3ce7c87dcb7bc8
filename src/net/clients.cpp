#include "clients.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "errors/errors.h"

namespace dewweir::net {
namespace {

constexpr Time tenths_per_second = 10000;
// The load balancer in front may open new connections for 0.4 s after SIGTERM; a margin is added.
constexpr Time accept_time_after_stop = 6000;
constexpr Time quiet_time = tenths_per_second / 4;
// An idle connection may be closed after 2 s; a client that sends no complete message must be disconnected
// within 3 s.
constexpr Time idle_timeout = 22 * tenths_per_second / 10, message_timeout = 24 * tenths_per_second / 10;
constexpr Time answer_read_timeout = 10 * tenths_per_second;  // to read one response

const char* reason(int status) {
    switch (status) {
        case 200: return "200 OK";
        case 400: return "400 Bad Request";
        case 405: return "405 Method Not Allowed";
        case 408: return "408 Request Timeout";
        case 409: return "409 Conflict";
        case 411: return "411 Length Required";
        case 413: return "413 Content Too Large";
        case 431: return "431 Request Header Fields Too Large";
        case 502: return "502 Bad Gateway";
        default: return "503 Service Unavailable";
    }
}

template <class T> bool read_number(std::string_view text, T& to, int base) {
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), to, base);
    return fault == std::errc() && end == text.data() + text.size() && !text.empty();
}
bool read_number(std::string_view text, double& to) {
    const auto [end, fault] =
        std::from_chars(text.data(), text.data() + text.size(), to, std::chars_format::fixed);
    return fault == std::errc() && end == text.data() + text.size() && std::isfinite(to);
}

int index_of(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

// Parses X-Metering, for example units=2,spread=3,first=1. Each key must occur once, and spread and first
// must be in range for the number of gateways.
bool read_metering(std::string_view text, const Configuration& configuration, double& units, int& spread) {
    bool has_units = false, has_spread = false, has_first = false;
    int first = 0;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(item.size() + 1, text.size()));
        const std::size_t equals = std::min(item.find('='), item.size());
        std::string_view name = item.substr(0, equals),
                         value = item.substr(std::min(equals + 1, item.size()));
        while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
        const auto once = [](bool& has, bool reads) { return std::exchange(has, true) ? false : reads; };
        if (name == "units" && !once(has_units, read_number(value, units))) return false;
        if (name == "spread" && !once(has_spread, read_number(value, spread, 10))) return false;
        if (name == "first" && !once(has_first, read_number(value, first, 10))) return false;
    }
    return has_units && has_spread && has_first && units > 0 && units <= configuration.max_request_units &&
           spread >= 1 && spread <= configuration.gateways && first >= 0 && first < configuration.gateways;
}

}  // namespace

Clients::Clients(const NodeContext& context, RequestHandler& handler)
    : NodeContext(context), handler_(handler), acceptor_(io_) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    std::error_code fault;
    acceptor_.bind(configuration_.listen, fault);
    if (!fault) acceptor_.listen(asio::socket_base::max_listen_connections, fault);
    if (fault) throw errors::CannotListen("listen", fault.message());
    acceptor_.non_blocking(true);
    accept();
}

void Clients::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const std::error_code& ended) {
        if (ended || !acceptor_.is_open()) return;
        deadlines_.update_now();
        // A quarter of the descriptors is reserved for the upstream side. At that limit the longest idle
        // client is closed to make room for the new one; while none is idle, connections close after their
        // next response.
        short_of_sockets_ = !connections_.has_room(0.25);
        if (short_of_sockets_) close_longest_idle();
        if (!connections_.has_room(0.25)) return retry_accept_later();
        std::error_code fault;
        tcp::socket socket = acceptor_.accept(fault);
        if (!fault) {
            add_client(std::move(socket));
            return accept();
        }
        if (fault != asio::error::would_block)
            log_.record(Event::clients_not_accepted,
                        "clients: cannot accept a connection: " + fault.message(),
                        {{"why", fault.message()}});
        close_longest_idle();
        retry_accept_later();
    });
}

void Clients::retry_accept_later() {
    deadlines_.after(50, [this] {
        if (acceptor_.is_open()) accept();
    });
}

void Clients::add_client(tcp::socket socket) {
    const Handle mark = clients_.add();
    if (!mark) return;
    Client& client = *clients_.find(mark);
    client.idle_since = deadlines_.now();
    client.connection = connections_.adopt(std::move(socket), *this, mark);
    if (!client.connection) return clients_.remove(mark);
    set_deadline(mark, client, message_timeout);
}

void Clients::set_deadline(Handle mark, Client& client, Time from_now) {
    deadlines_.cancel(client.deadline);
    client.deadline = deadlines_.after(from_now, [this, mark] { deadline_passed(mark); });
}

// The client was idle for too long, too slow to send a message, or too slow to read its response.
void Clients::deadline_passed(Handle mark) {
    Client& client = *clients_.find(mark);
    client.deadline = {};
    if (connections_.unsent_bytes(client.connection)) return close_after_answer(mark, client);
    if (!client.reader.begun()) {
        if (connections_.is_quiet(client.connection)) return close_idle(mark);
        return set_deadline(mark, client, quiet_time);  // data has just arrived and is read next
    }
    client.closing = true;
    answer_text(client, 408, "the message did not end in time\n");
    close_after_answer(mark, client);
}

// A request may be in transit on a connection that was just opened or answered, so a connection counts as
// idle only after `quiet_time`.
bool Clients::is_idle(Client& client) {
    return !client.busy && !client.reader.begun() && deadlines_.now() - client.idle_since >= quiet_time &&
           !connections_.unsent_bytes(client.connection) && connections_.is_quiet(client.connection);
}

// Closes the longest idle client; clients that never sent a message go first.
void Clients::close_longest_idle() {
    Handle oldest = 0;
    std::pair<bool, Time> since;
    clients_.each([&](Handle mark, Client& client) {
        const std::pair<bool, Time> own{client.has_sent_message, client.idle_since};
        if ((oldest && own >= since) || !is_idle(client)) return;
        oldest = mark;
        since = own;
    });
    if (oldest) close_idle(oldest);
}

// Closes at once: nothing was received and nothing is left to send.
void Clients::close_idle(Handle mark) {
    Client& client = *clients_.find(mark);
    connections_.close(client.connection);
    remove(mark, client);
}

void Clients::close_after_answer(Handle mark, Client& client) {
    connections_.close_gracefully(client.connection);
    remove(mark, client);
}

void Clients::remove(Handle mark, Client& client) {
    deadlines_.cancel(client.deadline);
    active_clients_ -= client.has_sent_message;
    clients_.remove(mark);
}

void Clients::received(Handle connection, std::uint32_t mark) {
    Client* client = clients_.find(mark);
    // One request at a time; pipelined requests wait in the ring.
    if (!client || client->busy || connections_.unsent_bytes(connection)) return;
    const HttpReader::State state = client->reader.read(connections_.in(connection));
    if (state == HttpReader::State::more) {
        // The deadline of the first message started when the connection was accepted.
        if (client->reader.begun() && client->has_sent_message && !client->message_timed)
            set_deadline(mark, *client, message_timeout);
        client->message_timed |= client->reader.begun();
        return;
    }
    deadlines_.cancel(client->deadline);
    active_clients_ += !std::exchange(client->has_sent_message, true);
    client->message_timed = false;
    if (state == HttpReader::State::bad) {
        client->closing = true;
        answer_text(*client, client->reader.fault(), "this is no message of HTTP/1.1 within our limits\n");
        return close_after_answer(mark, *client);
    }
    handle_message(mark, *client);
}

void Clients::handle_message(Handle mark, Client& client) {
    HttpReader& reader = client.reader;
    client.closing |= !reader.keep_alive() || stopping_;
    ReceivedRequest received{};
    std::string_view wrong;
    int status = 400;
    if (reader.target() == "/health/ready" && reader.method() == HTTP_GET) {
        status = stopping_ ? 503 : 200;
        wrong = stopping_ ? "stopping\n" : "ready\n";
    } else if (reader.method() != HTTP_GET && reader.method() != HTTP_POST) {
        status = 405;
        wrong = "GET or POST\n";
    } else {
        wrong = parse_request(reader, received);
        if (wrong.empty() && handler_.is_open(received.id)) {
            status = 409;
            wrong = "X-Request-Id: of a request that is open\n";
        }
    }
    if (!wrong.empty()) {
        answer_text(client, status, wrong);
        reader.next();
        if (client.closing) return close_after_answer(mark, client);
        return await_next_request(mark, client);
    }
    reader.next();
    client.busy = true;
    // The handler may answer within this call, which may remove the client.
    const Handle request = handler_.request_received(mark, std::move(received));
    Client* const remaining = clients_.find(mark);
    if (!request && remaining) answer(mark, 503, {}, "no room for another submission\n");
    else if (remaining && remaining->busy) remaining->request = request;
}

std::string_view Clients::parse_request(HttpReader& reader, ReceivedRequest& received) const {
    const bool get = reader.method() == HTTP_GET;
    if (get && !reader.body().empty()) return "GET has no body\n";
    if (reader.target().front() != '/') return "the path must begin with /\n";
    if (reader.field("X-Request-Id").empty()) return "X-Request-Id: missing or twice\n";
    received.id = reader.field("X-Request-Id");
    received.route_class = index_of(configuration_.route_classes, reader.field("X-Class"));
    if (received.route_class < 0) return "X-Class: missing or unknown\n";
    if (configuration_.idempotent[static_cast<std::size_t>(received.route_class)] != get)
        return "the class decides the method: GET if it is safe to repeat, else POST\n";
    received.quota_plan = index_of(configuration_.plans, reader.field("X-Contract"));
    if (received.quota_plan < 0) return "X-Contract: missing or unknown\n";
    const std::string_view tenant = reader.field("X-Client-Id");
    if (tenant.size() != 16 || !read_number(tenant, received.tenant, 16) || received.tenant >> 33)
        return "X-Client-Id: must be 16 hex digits, below 2^33\n";
    double time_limit = 0;
    if (!read_number(reader.field("X-Deadline"), time_limit) || !(time_limit > 0 && time_limit <= 3600))
        return "X-Deadline: must be seconds, up to 3600\n";
    received.time_limit = static_cast<Time>(time_limit * tenths_per_second);
    if (!read_metering(reader.field("X-Metering"), configuration_, received.units, received.gateways))
        return "X-Metering: must give units, spread and first, each once and in range\n";
    received.head.reserve(512);
    received.head.append(get ? "GET " : "POST ").append(reader.target()).append(" HTTP/1.1\r\n");
    reader.append_forwarded_fields(received.head, {"X-Deadline"});
    if (!get)
        received.head.append("Content-Length: ").append(std::to_string(reader.body().size())).append("\r\n");
    received.body = std::move(reader.body());
    return {};
}

void Clients::answer_text(Client& client, int status, std::string_view why) {
    if (status >= 400 && status < 500 && log_.shows(Event::client_refused))
        log_.record(Event::client_refused, "clients: " + std::string(why),
                    {{"status", status}, {"why", why}});
    write(client, status, "Content-Type: text/plain\r\n", why);
}

void Clients::write(Client& client, int status, std::string_view fields, std::string_view body) {
    std::string head;
    head.reserve(128 + fields.size());
    head.append("HTTP/1.1 ").append(reason(status)).append("\r\n").append(fields);
    head.append("Content-Length: ").append(std::to_string(body.size()));
    head.append(client.closing ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
    connections_.send(client.connection, {head, body});
}

void Clients::answer(Handle mark, int status, std::string_view fields, std::string_view body) {
    Client* const client = clients_.find(mark);
    if (!client) return;
    client->closing |= stopping_ || short_of_sockets_;
    write(*client, status, fields, body);
    client->busy = false;
    client->request = 0;
    if (client->closing) return close_after_answer(mark, *client);
    await_next_request(mark, *client);
}

// After a response: the client may still be reading it, stay idle for a while, or have sent its next request
// already.
void Clients::await_next_request(Handle mark, Client& client) {
    client.idle_since = deadlines_.now();
    const bool unsent = connections_.unsent_bytes(client.connection);
    // Clients hold at most a third of the descriptors. Idle keep-alive connections would starve new clients,
    // so above half of that share idle connections are closed sooner.
    const bool many = 6 * active_clients_ > configuration_.max_sockets;
    set_deadline(mark, client, unsent ? answer_read_timeout : many ? quiet_time : idle_timeout);
    if (!unsent && !connections_.in(client.connection).empty()) connections_.redeliver(client.connection);
}

void Clients::drained(Handle handle, std::uint32_t mark) {
    if (Client* const client = clients_.find(mark)) set_deadline(mark, *client, idle_timeout);
    received(handle, mark);
}

void Clients::ended(Handle, std::uint32_t mark) {
    Client* const client = clients_.find(mark);
    if (!client) return;
    const Handle request = client->request;
    remove(mark, *client);
    if (request) handler_.client_disconnected(request);
}

void Clients::stop(std::function<void()> done) {
    if (stopping_) return;
    stopping_ = true;
    done_ = std::move(done);
    log_.record(Event::gateway_stopping,
                "stopping: readiness fails from now on; accepted requests are still answered");
    deadlines_.after(accept_time_after_stop, [this] {
        // Connections that the kernel has already accepted are served: the backlog is emptied before the
        // listener closes.
        for (std::error_code fault; !fault;) {
            tcp::socket socket = acceptor_.accept(fault);
            if (!fault) add_client(std::move(socket));
        }
        std::error_code ignored;
        acceptor_.close(ignored);
        close_all_idle();
    });
}

// Clients may still send requests on open connections; these close after their response.
void Clients::close_all_idle() {
    std::vector<Handle> idle_clients;
    clients_.each([&](Handle mark, Client& client) {
        if (is_idle(client)) idle_clients.push_back(mark);
    });
    for (const Handle mark : idle_clients) close_idle(mark);
    if (clients_.size() || connections_.closing()) deadlines_.after(200, [this] { close_all_idle(); });
    else done_();
}

}  // namespace dewweir::net
