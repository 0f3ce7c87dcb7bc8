#include "gateway/upstreams.h"

#include <algorithm>
#include <charconv>

#include "logging/log.h"

namespace dewweir::gateway {
namespace {

constexpr runtime::Time connect_timeout = 1000 * runtime::tenths_per_millisecond;
// Fraction of the idle time-out stated by the host that is used: the host must not close first.
constexpr double idle_timeout_fraction = 0.7;
// Fraction of the process's connections that upstream connections leave free.
constexpr double reserved_connection_fraction = 0.05;

// Returns the `timeout` parameter of a Keep-Alive header in seconds; nothing if it is missing or invalid.
std::optional<int> parse_idle_timeout(std::string_view field) {
    const std::size_t at = field.find("timeout=");
    if (at == std::string_view::npos) return std::nullopt;
    const std::string_view digits = field.substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (error != std::errc() || seconds < 0) return std::nullopt;
    return seconds;
}

std::string encode_chunk(std::string_view body) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return std::string(size).append(body).append("\r\n");
}

}  // namespace

Upstreams::Upstreams(runtime::EventLoop& loop, AttemptHandler& handler) : loop_(loop), handler_(handler) {}

void Upstreams::add(EndpointId endpoint, const asio::ip::tcp::endpoint& address,
                    std::size_t max_connections) {
    Host& host = hosts_[endpoint];
    host.address = address;
    host.max_connections = max_connections;
    host.removed = false;
}

void Upstreams::remove(EndpointId endpoint) {
    const auto found = hosts_.find(endpoint);
    if (found == hosts_.end()) return;
    found->second.removed = true;
    for (const AttemptId id : std::vector<AttemptId>(found->second.idle)) close(id);
    const auto remaining = hosts_.find(endpoint);
    if (remaining != hosts_.end() && remaining->second.connections == 0) hosts_.erase(remaining);
}

std::size_t Upstreams::connecting() {
    std::size_t count = 0;
    connections_.each([&](AttemptId, const Connection& connection) { count += !connection.established; });
    return count;
}

std::vector<AttemptId> Upstreams::connecting_to(EndpointId endpoint) {
    std::vector<AttemptId> waiting;
    connections_.each([&](AttemptId id, const Connection& connection) {
        if (connection.endpoint == endpoint && connection.request && !connection.established)
            waiting.push_back(id);
    });
    return waiting;
}

std::size_t Upstreams::withdraw_connecting(EndpointId endpoint) {
    const std::vector<AttemptId> waiting = connecting_to(endpoint);
    for (const AttemptId id : waiting) finish_attempt(id, AttemptOutcome::not_sent);
    return waiting.size();
}

AttemptId Upstreams::take_idle(Host& host, std::string_view attempt_id) {
    for (std::size_t n = host.idle.size(); n-- > 0;) {
        const AttemptId id = host.idle[n];
        Connection& connection = *connections_.find(id);
        if (connection.carried.contains(attempt_id)) continue;
        host.idle.erase(host.idle.begin() + static_cast<std::ptrdiff_t>(n));
        loop_.deadlines().cancel(connection.deadline);
        // A connection that has received bytes or its end since its last response is not reused.
        if (loop_.connections().is_quiet(connection.socket)) return id;
        close(id);
    }
    return 0;
}

// An idle connection that has not carried this attempt id, or a new one. At the host's limit an idle
// connection gives way to the new one.
AttemptId Upstreams::take_connection(EndpointId endpoint, Host& host, std::string_view attempt_id) {
    if (const AttemptId idle = take_idle(host, attempt_id)) return idle;
    if (host.connections >= host.max_connections && !host.idle.empty()) close(host.idle.front());
    return open_connection(endpoint, host);
}

AttemptId Upstreams::open_connection(EndpointId endpoint, Host& host) {
    if (host.connections >= host.max_connections) return 0;
    if (!loop_.connections().has_room(reserved_connection_fraction)) return 0;
    const AttemptId id = connections_.add(endpoint);
    if (!id) return 0;
    const net::Handle socket = loop_.connections().open(host.address, *this, id, connect_timeout);
    if (!socket) {
        connections_.remove(id);
        return 0;
    }
    connections_.find(id)->socket = socket;
    ++host.connections;
    return id;
}

AttemptId Upstreams::start(RequestId request, EndpointId endpoint, const AttemptRequest& sent,
                           runtime::Time within) {
    const auto found = hosts_.find(endpoint);
    AttemptId id = 0;
    if (found != hosts_.end() && !found->second.removed)
        id = take_connection(endpoint, found->second, sent.attempt_id);
    if (!id) {
        finish_attempt_later(request, endpoint, AttemptOutcome::not_sent);
        return 0;
    }
    Connection& connection = *connections_.find(id);
    connection.request = request;
    connection.attempt_id = sent.attempt_id;
    connection.started_at = loop_.now();
    connection.chunked_request = sent.chunked;
    connection.request_complete = sent.complete;
    connection.expects_no_body = sent.expects_no_body;
    connection.skipped_responses = 0;
    connection.carried.add(sent.attempt_id, sent.expects_no_body);
    connection.deadline =
        loop_.deadlines().after(within, [this, id] { finish_attempt(id, AttemptOutcome::timed_out); });
    std::string bytes;
    bytes.reserve(sent.head.size() + sent.body.size() + 32);
    bytes.append(sent.head).append("\r\n");
    if (sent.chunked) {
        if (!sent.body.empty()) bytes.append(encode_chunk(sent.body));
        if (sent.complete) bytes.append("0\r\n\r\n");
    } else {
        bytes.append(sent.body);
    }
    write(connection, bytes);
    return id;
}

void Upstreams::write(Connection& connection, std::string_view bytes) {
    if (connection.established) {
        loop_.connections().send(connection.socket, {bytes});
    } else {
        connection.pending_output.append(bytes);
    }
}

void Upstreams::send_request_body(AttemptId attempt, std::string_view body, bool complete) {
    Connection* const connection = connections_.find(attempt);
    if (!connection || !connection->request) return;
    connection->request_complete = complete;
    if (!connection->chunked_request) return write(*connection, body);
    if (!body.empty()) write(*connection, encode_chunk(body));
    if (complete) write(*connection, "0\r\n\r\n");
}

std::size_t Upstreams::unsent_bytes(AttemptId attempt) {
    const Connection* const connection = connections_.find(attempt);
    if (!connection) return 0;
    return connection->pending_output.size() +
           (connection->established ? loop_.connections().unsent_bytes(connection->socket) : 0);
}

void Upstreams::pause_response(AttemptId attempt) {
    if (Connection* const connection = connections_.find(attempt)) connection->paused = true;
}

void Upstreams::resume_response(AttemptId attempt) {
    Connection* const connection = connections_.find(attempt);
    if (!connection || !connection->paused) return;
    connection->paused = false;
    loop_.connections().redeliver(connection->socket);
}

void Upstreams::abandon(AttemptId attempt) {
    Connection* const connection = connections_.find(attempt);
    if (!connection || !connection->request) return;
    connection->request = 0;
    close(attempt);
}

void Upstreams::opened(net::Handle, std::uint32_t id, bool up) {
    Connection* const connection = connections_.find(id);
    if (!connection) return;
    if (!up) {
        connection->socket = 0;
        return finish_attempt(id, AttemptOutcome::connect_failed);
    }
    if (!handler_.may_send_to(connection->endpoint)) return finish_attempt(id, AttemptOutcome::not_sent);
    connection->established = true;
    loop_.connections().send(connection->socket, {connection->pending_output});
    connection->pending_output = {};
    if (loop_.connections().unsent_bytes(connection->socket) == 0)
        handler_.attempt_writable(connection->request);
}

void Upstreams::ended(net::Handle, std::uint32_t id) {
    Connection* connection = connections_.find(id);
    if (!connection) return;
    if (connection->paused) {  // the bytes received before the end may complete the response
        connection->paused = false;
        received(connection->socket, id);
        connection = connections_.find(id);
        if (!connection) return;
    }
    connection->socket = 0;  // released by its owner after this call
    if (!connection->request) return close(id);
    finish_attempt(id, AttemptOutcome::broken);
}

void Upstreams::drained(net::Handle, std::uint32_t id) {
    const Connection* const connection = connections_.find(id);
    if (connection && connection->request) handler_.attempt_writable(connection->request);
}

void Upstreams::finish_attempt(AttemptId id, AttemptOutcome outcome) {
    Connection* const connection = connections_.find(id);
    if (!connection || !connection->request) return;
    const RequestId request = std::exchange(connection->request, 0);
    const EndpointId endpoint = connection->endpoint;
    loop_.deadlines().cancel(connection->deadline);
    AttemptResult result;
    result.outcome = outcome;
    result.duration = loop_.now() - connection->started_at;
    result.streamed = connection->streaming_response;
    const bool host_answered = outcome == AttemptOutcome::answered || outcome == AttemptOutcome::not_executed;
    if (outcome == AttemptOutcome::answered) result.response = take_response(*connection);
    const bool reusable = host_answered && connection->reader.keep_alive() &&
                          connection->skipped_responses == 0 && !connection->carried.is_full() &&
                          loop_.connections().in(connection->socket).empty() &&
                          request_fully_sent(*connection) && !hosts_.at(endpoint).removed;
    if (reusable) {
        release_to_idle(id, *connection);
    } else {
        close(id);
    }
    handler_.attempt_finished(request, endpoint, std::move(result));
}

void Upstreams::finish_attempt_later(RequestId request, EndpointId endpoint, AttemptOutcome outcome) {
    loop_.post(
        [this, request, endpoint, outcome] { handler_.attempt_finished(request, endpoint, {outcome}); });
}

void Upstreams::release_to_idle(AttemptId id, Connection& connection) {
    if (const auto seconds = parse_idle_timeout(connection.reader.field("Keep-Alive"))) {
        connection.idle_timeout =
            static_cast<runtime::Time>(idle_timeout_fraction * *seconds * runtime::tenths_per_second);
    }
    connection.reader.next();
    connection.streaming_response = false;
    connection.paused = false;
    hosts_.at(connection.endpoint).idle.push_back(id);
    connection.deadline = loop_.deadlines().after(connection.idle_timeout, [this, id] { close(id); });
}

void Upstreams::close(AttemptId id) {
    Connection* const connection = connections_.find(id);
    if (!connection) return;
    loop_.deadlines().cancel(connection->deadline);
    if (connection->socket) loop_.connections().close(connection->socket);
    const EndpointId endpoint = connection->endpoint;
    connections_.remove(id);
    const auto host = hosts_.find(endpoint);
    if (host == hosts_.end()) return;
    std::erase(host->second.idle, id);
    --host->second.connections;
    if (host->second.removed && host->second.connections == 0) hosts_.erase(host);
}

}  // namespace dewweir::gateway
