// How responses of hosts are read, matched to the attempt in flight and classified.
#include <limits>

#include "gateway/upstreams.h"
#include "logging/log.h"

namespace dewweir::gateway {
namespace {

constexpr std::size_t max_response_head_bytes = 64u << 10;
// A response body of this size, in bytes, is streamed to the client as it arrives.
constexpr std::size_t max_buffered_response_bytes = 64u << 10;
// Responses to earlier or unknown requests that are skipped before the connection is closed.
constexpr int max_skipped_responses = 4;
constexpr unsigned min_final_status = 200;  // below it: interim responses
constexpr unsigned status_misdirected = 421;

net::HttpLimits response_limits() {
    net::HttpLimits limits;
    limits.head = max_response_head_bytes;
    limits.body = std::numeric_limits<std::uint64_t>::max();
    limits.window = max_buffered_response_bytes;
    return limits;
}

net::HttpReader::ResponseBody response_body(CarriedRequests::Framing framing) {
    using ResponseBody = net::HttpReader::ResponseBody;
    switch (framing) {
        case CarriedRequests::Framing::as_stated: return ResponseBody::as_stated;
        case CarriedRequests::Framing::no_body: return ResponseBody::none;
        case CarriedRequests::Framing::unknown: break;
    }
    return ResponseBody::unknown;
}

}  // namespace

Upstreams::Connection::Connection(EndpointId of) : endpoint(of), reader(HTTP_RESPONSE, response_limits()) {
    reader.set_response_body_rule([this](const net::HttpReader& response) {
        const bool interim = response.status() < min_final_status;  // it has neither a body nor an id
        if (interim || response.stated_length() == 0) return net::HttpReader::ResponseBody::as_stated;
        return response_body(carried.response_framing(response.field("X-Attempt-Id")));
    });
}

void Upstreams::received(net::Handle socket, std::uint32_t id) {
    Connection* const connection = connections_.find(id);
    if (!connection) return;
    if (!connection->request) {
        if (!loop_.connections().in(socket).empty()) close(id);  // bytes on an idle connection
        return;
    }
    if (connection->paused) return;
    const net::HttpReader::State state = connection->reader.read(loop_.connections().in(socket));
    if (state == net::HttpReader::State::bad) return finish_attempt(id, AttemptOutcome::broken);
    if (connection->reader.head_read() && connection->reader.ends_with_connection() &&
        !connection->reader.complete()) {
        return finish_attempt(id, AttemptOutcome::broken);  // a truncated body could not be detected
    }
    if (state == net::HttpReader::State::complete) return handle_response(id);
    if (connection->reader.head_read() && connection->reader.body().size() >= max_buffered_response_bytes)
        stream_response(id, *connection);
    const Connection* const remaining = connections_.find(id);
    // The rest of the ring is read in the next turn of the loop: no further event may follow to trigger it.
    if (remaining && remaining->request && !remaining->paused && !loop_.connections().in(socket).empty()) {
        loop_.connections().redeliver(socket);
    }
}

bool Upstreams::request_fully_sent(const Connection& connection) const {
    return connection.request_complete && loop_.connections().unsent_bytes(connection.socket) == 0;
}

// Whether the response belongs to this attempt: a host may send a surplus response to an earlier request
// first. Its id identifies the attempt, since no connection carries an id twice. A response without an id is
// accepted only as a refusal, and only if no earlier request can have caused it.
bool Upstreams::matches_attempt(const Connection& connection) const {
    const std::string_view id = connection.reader.field("X-Attempt-Id");
    if (!id.empty()) return id == connection.attempt_id;
    if (connection.carried.size() > 1) return false;
    return connection.reader.has_field("X-Not-Executed") || connection.reader.status() == status_misdirected;
}

void Upstreams::handle_response(AttemptId id) {
    Connection& connection = *connections_.find(id);
    const bool interim = connection.reader.status() < min_final_status;
    if (interim || !matches_attempt(connection)) {
        if (!interim) {
            logging::log(logging::Level::info, logging::Event::response_skipped,
                         {{"endpoint", static_cast<std::int64_t>(connection.endpoint)},
                          {"status", static_cast<std::int64_t>(connection.reader.status())}});
        }
        if (connection.streaming_response || ++connection.skipped_responses > max_skipped_responses)
            return finish_attempt(id, AttemptOutcome::broken);
        connection.reader.next();
        loop_.connections().redeliver(connection.socket);
        return;
    }
    // The host cannot have executed a request whose last byte has not been sent to it.
    if (!request_fully_sent(connection) && classify_response(connection) == AttemptOutcome::answered) {
        return finish_attempt(id, AttemptOutcome::broken);
    }
    finish_attempt(id, classify_response(connection));
}

AttemptOutcome Upstreams::classify_response(const Connection& connection) const {
    const unsigned status = connection.reader.status();
    if (status == status_misdirected) return AttemptOutcome::misdirected;
    if (connection.reader.has_field("X-Not-Executed")) return AttemptOutcome::not_executed;
    const bool success = status < 300;
    // A success without the seal does not come from the host itself.
    if (success && !connection.reader.has_field("X-Server-Seal")) return AttemptOutcome::broken;
    if (connection.reader.has_field("Content-Encoding")) return AttemptOutcome::broken;
    const bool has_transfer_coding = connection.reader.has_field("Transfer-Encoding");
    if (has_transfer_coding &&
        !net::equal_ignoring_case(connection.reader.field("Transfer-Encoding"), "chunked")) {
        return AttemptOutcome::broken;
    }
    return AttemptOutcome::answered;
}

void Upstreams::stream_response(AttemptId id, Connection& connection) {
    if (!connection.streaming_response) {
        if (!matches_attempt(connection)) return connection.reader.body().clear();  // skipped at its end
        if (!request_fully_sent(connection)) return finish_attempt(id, AttemptOutcome::broken);
        if (classify_response(connection) != AttemptOutcome::answered)
            return finish_attempt(id, AttemptOutcome::broken);
        connection.streaming_response = true;
        return handler_.response_started(connection.request, take_response(connection));
    }
    handler_.response_body_available(connection.request, std::exchange(connection.reader.body(), {}));
}

UpstreamResponse Upstreams::take_response(Connection& connection) const {
    UpstreamResponse response;
    response.status = static_cast<int>(connection.reader.status());
    connection.reader.append_forwarded_fields(response.fields,
                                              {"X-Server-Load", "X-Instance-Id", "X-Cold-Ms"});
    response.body = std::exchange(connection.reader.body(), {});
    response.length = connection.reader.stated_length();
    response.no_body = connection.expects_no_body || response.status == 204 || response.status == 304;
    return response;
}

}  // namespace dewweir::gateway
