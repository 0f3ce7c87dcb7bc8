#include "gateway/upstreams.h"

#include <algorithm>
#include <charconv>

namespace dewweir::gateway {
namespace {

constexpr std::size_t most_head_bytes = 64u << 10;
// An answer longer than this is passed on as it comes, in bytes.
constexpr std::size_t held_answer = 64u << 10;
constexpr runtime::Time connect_limit = 1000 * runtime::tenths_per_millisecond;
// Without a Keep-Alive of the host an idle connection is kept for so long.
constexpr runtime::Time usual_idle = 4 * runtime::tenths_per_second;
// Of the idle time that a host states, the part that is used.
constexpr double idle_part = 0.7;
constexpr int most_skipped = 4;
constexpr int misdirected_status = 421;
constexpr double reserved_connections = 0.05;

net::HttpLimits answer_limits() {
    net::HttpLimits limits;
    limits.head = most_head_bytes;
    limits.body = std::numeric_limits<std::uint64_t>::max();
    limits.window = held_answer;
    return limits;
}

// The seconds of `timeout` in a Keep-Alive field; nothing where it is not stated.
std::optional<int> stated_idle(std::string_view field) {
    const std::size_t at = field.find("timeout=");
    if (at == std::string_view::npos) return std::nullopt;
    const std::string_view digits = field.substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (fault != std::errc() || seconds < 0) return std::nullopt;
    return seconds;
}

std::string chunk(std::string_view body) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return std::string(size).append(body).append("\r\n");
}

}  // namespace

Upstreams::Connection::Connection(EndpointId of)
    : endpoint(of), reader(HTTP_RESPONSE, answer_limits()), idle_limit(usual_idle) {}

Upstreams::Upstreams(runtime::EventLoop& loop, AttemptUser& user) : loop_(loop), user_(user) {}

void Upstreams::add(EndpointId endpoint, const asio::ip::tcp::endpoint& address,
                    std::size_t most_connections) {
    Host& host = hosts_[endpoint];
    host.address = address;
    host.most_connections = most_connections;
    host.leaving = false;
}

void Upstreams::remove(EndpointId endpoint) {
    const auto found = hosts_.find(endpoint);
    if (found == hosts_.end()) return;
    found->second.leaving = true;
    for (const AttemptId id : std::vector<AttemptId>(found->second.idle)) close(id);
    const auto left = hosts_.find(endpoint);
    if (left != hosts_.end() && left->second.connections == 0) hosts_.erase(left);
}

std::size_t Upstreams::connecting() {
    std::size_t count = 0;
    connections_.each([&](AttemptId, const Connection& connection) { count += !connection.up; });
    return count;
}

std::vector<AttemptId> Upstreams::connecting_to(EndpointId endpoint) {
    std::vector<AttemptId> waiting;
    connections_.each([&](AttemptId id, const Connection& connection) {
        if (connection.endpoint == endpoint && connection.request && !connection.up) waiting.push_back(id);
    });
    return waiting;
}

std::size_t Upstreams::withdraw(EndpointId endpoint) {
    const std::vector<AttemptId> waiting = connecting_to(endpoint);
    for (const AttemptId id : waiting) over(id, AttemptOutcome::not_sent);
    return waiting.size();
}

AttemptId Upstreams::take_idle(Host& host) {
    while (!host.idle.empty()) {
        const AttemptId id = host.idle.back();
        host.idle.pop_back();
        Connection& connection = *connections_.find(id);
        loop_.deadlines().cancel(connection.deadline);
        // Bytes after the last answer, or its end, make it unfit.
        if (loop_.connections().is_quiet(connection.socket)) return id;
        close(id);
    }
    return 0;
}

AttemptId Upstreams::open(EndpointId endpoint, Host& host) {
    if (host.connections >= host.most_connections) return 0;
    if (!loop_.connections().has_room(reserved_connections)) return 0;
    const AttemptId id = connections_.add(endpoint);
    if (!id) return 0;
    const net::Handle socket = loop_.connections().open(host.address, *this, id, connect_limit);
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
    if (found != hosts_.end() && !found->second.leaving) {
        id = take_idle(found->second);
        if (!id) id = open(endpoint, found->second);
    }
    if (!id) {
        over_later(request, endpoint, AttemptOutcome::not_sent);
        return 0;
    }
    Connection& connection = *connections_.find(id);
    connection.request = request;
    connection.attempt_id = sent.attempt_id;
    connection.started = loop_.now();
    connection.chunked_request = sent.chunked;
    connection.request_complete = sent.complete;
    connection.bodiless_answer = sent.bodiless_answer;
    connection.skipped = 0;
    if (sent.bodiless_answer) connection.reader.expect_no_body();
    connection.deadline =
        loop_.deadlines().after(within, [this, id] { over(id, AttemptOutcome::timed_out); });
    std::string bytes;
    bytes.reserve(sent.head.size() + sent.body.size() + 32);
    bytes.append(sent.head).append("\r\n");
    if (sent.chunked) {
        if (!sent.body.empty()) bytes.append(chunk(sent.body));
        if (sent.complete) bytes.append("0\r\n\r\n");
    } else {
        bytes.append(sent.body);
    }
    write(connection, bytes);
    return id;
}

void Upstreams::write(Connection& connection, std::string_view bytes) {
    if (connection.up) {
        loop_.connections().send(connection.socket, {bytes});
    } else {
        connection.waiting.append(bytes);
    }
}

void Upstreams::send_body(AttemptId attempt, std::string_view body, bool complete) {
    Connection* const connection = connections_.find(attempt);
    if (!connection || !connection->request) return;
    connection->request_complete = complete;
    if (!connection->chunked_request) return write(*connection, body);
    if (!body.empty()) write(*connection, chunk(body));
    if (complete) write(*connection, "0\r\n\r\n");
}

std::size_t Upstreams::unsent(AttemptId attempt) {
    const Connection* const connection = connections_.find(attempt);
    if (!connection) return 0;
    return connection->waiting.size() +
           (connection->up ? loop_.connections().unsent_bytes(connection->socket) : 0);
}

void Upstreams::pause(AttemptId attempt) {
    if (Connection* const connection = connections_.find(attempt)) connection->paused = true;
}

void Upstreams::read_on(AttemptId attempt) {
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
        return over(id, AttemptOutcome::connect_failed);
    }
    if (!user_.attempt_allowed(connection->endpoint)) return over(id, AttemptOutcome::not_sent);
    connection->up = true;
    loop_.connections().send(connection->socket, {connection->waiting});
    connection->waiting = {};
    if (loop_.connections().unsent_bytes(connection->socket) == 0)
        user_.attempt_writable(connection->request);
}

void Upstreams::received(net::Handle socket, std::uint32_t id) {
    Connection* const connection = connections_.find(id);
    if (!connection) return;
    if (!connection->request) {
        if (!loop_.connections().in(socket).empty()) close(id);  // it speaks unasked
        return;
    }
    if (connection->paused) return;
    const net::HttpReader::State state = connection->reader.read(loop_.connections().in(socket));
    if (state == net::HttpReader::State::bad) return over(id, AttemptOutcome::broken);
    if (connection->reader.head_read() && connection->reader.ends_with_connection() &&
        !connection->reader.complete()) {
        return over(id, AttemptOutcome::broken);  // where its body ends can't be told
    }
    if (state == net::HttpReader::State::complete) return answer_read(id);
    if (connection->reader.head_read() && connection->reader.body().size() >= held_answer)
        stream(id, *connection);
    const Connection* const left = connections_.find(id);
    // The rest of the ring is read in the next turn; nothing else may come to ask for it.
    if (left && left->request && !left->paused && !loop_.connections().in(socket).empty()) {
        loop_.connections().redeliver(socket);
    }
}

bool Upstreams::sent_wholly(const Connection& connection) const {
    return connection.request_complete && loop_.connections().unsent_bytes(connection.socket) == 0;
}

// An answer to an earlier request may stand in the place of this one's: the id shows which it is. An answer
// without an id is taken only as a refusal, which says nothing of another request's result.
bool Upstreams::belongs(const Connection& connection) const {
    const std::string_view id = connection.reader.field("X-Attempt-Id");
    if (!id.empty()) return id == connection.attempt_id;
    return connection.reader.has_field("X-Not-Executed") || connection.reader.status() == misdirected_status;
}

void Upstreams::answer_read(AttemptId id) {
    Connection& connection = *connections_.find(id);
    const bool interim = connection.reader.status() < 200;
    if (interim || !belongs(connection)) {
        if (connection.streaming || ++connection.skipped > most_skipped)
            return over(id, AttemptOutcome::broken);
        connection.reader.next();
        if (connection.bodiless_answer) connection.reader.expect_no_body();
        loop_.connections().redeliver(connection.socket);
        return;
    }
    // Before its last byte was written the host can't have run it: whatever this is, it is no answer to it.
    if (!sent_wholly(connection) && outcome_of(connection) == AttemptOutcome::answered) {
        return over(id, AttemptOutcome::broken);
    }
    over(id, outcome_of(connection));
}

AttemptOutcome Upstreams::outcome_of(const Connection& connection) const {
    const unsigned status = connection.reader.status();
    if (status == misdirected_status) return AttemptOutcome::misdirected;
    if (connection.reader.has_field("X-Not-Executed")) return AttemptOutcome::not_executed;
    const bool success = status < 300;
    // A success without the host's stamp is not the host's.
    if (success && !connection.reader.has_field("X-Server-Seal")) return AttemptOutcome::broken;
    if (connection.reader.has_field("Content-Encoding")) return AttemptOutcome::broken;
    const bool coded = connection.reader.has_field("Transfer-Encoding");
    if (coded && !net::equal_ignoring_case(connection.reader.field("Transfer-Encoding"), "chunked")) {
        return AttemptOutcome::broken;
    }
    return AttemptOutcome::answered;
}

void Upstreams::stream(AttemptId id, Connection& connection) {
    if (!connection.streaming) {
        if (!belongs(connection) || !sent_wholly(connection)) return over(id, AttemptOutcome::broken);
        if (outcome_of(connection) != AttemptOutcome::answered) return over(id, AttemptOutcome::broken);
        connection.streaming = true;
        return user_.attempt_streams(connection.request, take_answer(connection));
    }
    user_.attempt_continues(connection.request, std::exchange(connection.reader.body(), {}));
}

HostAnswer Upstreams::take_answer(Connection& connection) const {
    HostAnswer answer;
    answer.status = static_cast<int>(connection.reader.status());
    connection.reader.append_forwarded_fields(answer.fields, {"X-Server-Load", "X-Instance-Id", "X-Cold-Ms"});
    answer.body = std::exchange(connection.reader.body(), {});
    answer.length = connection.reader.stated_length();
    answer.bodiless = connection.bodiless_answer || answer.status == 204 || answer.status == 304;
    return answer;
}

void Upstreams::ended(net::Handle, std::uint32_t id) {
    Connection* connection = connections_.find(id);
    if (!connection) return;
    if (connection->paused) {  // what came before the end may complete the answer
        connection->paused = false;
        received(connection->socket, id);
        connection = connections_.find(id);
        if (!connection) return;
    }
    connection->socket = 0;  // given back right after this
    if (!connection->request) return close(id);
    over(id, AttemptOutcome::broken);
}

void Upstreams::drained(net::Handle, std::uint32_t id) {
    const Connection* const connection = connections_.find(id);
    if (connection && connection->request) user_.attempt_writable(connection->request);
}

void Upstreams::over(AttemptId id, AttemptOutcome outcome) {
    Connection* const connection = connections_.find(id);
    if (!connection || !connection->request) return;
    const RequestId request = std::exchange(connection->request, 0);
    const EndpointId endpoint = connection->endpoint;
    loop_.deadlines().cancel(connection->deadline);
    AttemptResult result;
    result.outcome = outcome;
    result.took = loop_.now() - connection->started;
    result.streamed = connection->streaming;
    const bool spoken = outcome == AttemptOutcome::answered || outcome == AttemptOutcome::not_executed;
    if (outcome == AttemptOutcome::answered) result.answer = take_answer(*connection);
    const bool fit = spoken && connection->reader.keep_alive() && connection->skipped == 0 &&
                     loop_.connections().in(connection->socket).empty() && sent_wholly(*connection) &&
                     !hosts_.at(endpoint).leaving;
    if (fit) {
        rest(id, *connection);
    } else {
        close(id);
    }
    user_.attempt_over(request, endpoint, std::move(result));
}

void Upstreams::over_later(RequestId request, EndpointId endpoint, AttemptOutcome outcome) {
    loop_.post([this, request, endpoint, outcome] { user_.attempt_over(request, endpoint, {outcome}); });
}

void Upstreams::rest(AttemptId id, Connection& connection) {
    if (const auto seconds = stated_idle(connection.reader.field("Keep-Alive"))) {
        connection.idle_limit = static_cast<runtime::Time>(idle_part * *seconds * runtime::tenths_per_second);
    }
    connection.reader.next();
    connection.streaming = false;
    connection.paused = false;
    hosts_.at(connection.endpoint).idle.push_back(id);
    connection.deadline = loop_.deadlines().after(connection.idle_limit, [this, id] { close(id); });
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
    if (host->second.leaving && host->second.connections == 0) hosts_.erase(host);
}

}  // namespace dewweir::gateway
