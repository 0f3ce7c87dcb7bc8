// Pool of upstream connections, and the attempts made on them. Owns every connection to a host. Carries out
// one attempt at a time on a connection and reports its outcome; it never sends a request again by itself.
#pragma once

#include <asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <vector>

#include "gateway/carried_requests.h"
#include "gateway/front_end.h"
#include "net/http.h"
#include "runtime/event_loop.h"

namespace dewweir::gateway {

// Identifies one incarnation of a host within this process; 0: none.
using EndpointId = std::uint32_t;
// Identifies an attempt, by the connection that carries it; 0: none.
using AttemptId = net::Handle;

enum class AttemptOutcome : std::uint8_t {
    answered,        // a complete response of the host to this request, with any status
    not_executed,    // the host states that it did not execute the request
    misdirected,     // another host has the address (status 421); the request was not executed
    connect_failed,  // no byte of the request was written
    broken,          // the connection failed or the response is invalid; the request may have been executed
    timed_out,       // no complete response in time; the request may have been executed
    not_sent,  // the endpoint is draining or removed, or no connection is available; nothing was written
};

// Response of a host, or its beginning if it is streamed.
struct UpstreamResponse {
    int status = 0;
    std::string fields{};                   // header lines to pass on, each with its line end
    std::optional<std::uint64_t> length{};  // of the complete body in bytes; nothing: chunked transfer coding
    std::string body{};                     // the part that has been received
    // The response has no body (to HEAD, or with status 204 or 304); `length` is then only what its head
    // states.
    bool no_body = false;
};

struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::broken;
    UpstreamResponse response{};  // if `answered`
    runtime::Time duration = 0;   // since the attempt was started
    bool streamed = false;        // `response_started` was called; `response.body` is only the rest
};

// Receives the progress of attempts.
class AttemptHandler {
  public:
    virtual ~AttemptHandler() = default;
    virtual void attempt_finished(RequestId request, EndpointId endpoint, AttemptResult&& result) = 0;
    // The response is too long to be buffered: its head with the first part of its body. The further parts
    // follow by `response_body_available`, then `attempt_finished`.
    virtual void response_started(RequestId request, UpstreamResponse&& response) = 0;
    virtual void response_body_available(RequestId request, std::string&& body) = 0;
    // Whether a request may be sent to the endpoint now. Asked again once its connection is established,
    // since connecting takes a while.
    virtual bool may_send_to(EndpointId endpoint) = 0;
    // All bytes of the request written so far have been handed to the operating system.
    virtual void attempt_writable(RequestId request) = 0;
};

// What is sent of a request when its attempt starts.
struct AttemptRequest {
    std::string_view head;         // request line and header lines, without the empty line that ends them
    std::string_view attempt_id;   // X-Attempt-Id, which the response must repeat
    std::string_view body;         // the part that has been received from the client
    bool chunked = false;          // chunked transfer coding: the length is not known
    bool complete = true;          // `body` is the complete body
    bool expects_no_body = false;  // the response has no body: the method is HEAD
};

class Upstreams : net::ConnectionHandler {
  public:
    Upstreams(runtime::EventLoop& loop, AttemptHandler& handler);

    // Adds a host or changes the address and connection limit of a known one.
    void add(EndpointId endpoint, const asio::ip::tcp::endpoint& address, std::size_t max_connections);
    // Starts no further attempts on the host; the attempts in flight continue.
    void remove(EndpointId endpoint);
    // Ends the attempts at the endpoint whose connections are not established yet as `not_sent`: they were
    // decided by an older list, and no byte of them has been written. Returns their number.
    std::size_t withdraw_connecting(EndpointId endpoint);
    // Number of connections, to any host, that are not established yet.
    std::size_t connecting();

    // Starts an attempt, which times out after `within`. `attempt_finished` follows in a later turn of the
    // event loop. Returns 0 if nothing could be sent; `attempt_finished` then reports `not_sent`.
    AttemptId start(RequestId request, EndpointId endpoint, const AttemptRequest& sent, runtime::Time within);
    // Sends more of the request's body. `complete`: this is its end.
    void send_request_body(AttemptId attempt, std::string_view body, bool complete);
    // Bytes of the request that have not been handed to the operating system yet.
    std::size_t unsent_bytes(AttemptId attempt);
    // Stops reading the response until `resume_response`, because the client reads it more slowly.
    void pause_response(AttemptId attempt);
    void resume_response(AttemptId attempt);
    // Closes the attempt's connection without calling `attempt_finished`.
    void abandon(AttemptId attempt);

  private:
    struct Connection {
        explicit Connection(EndpointId of);
        EndpointId endpoint;
        net::HttpReader reader;
        CarriedRequests carried{};
        net::Handle socket = 0;
        bool established = false;
        bool streaming_response = false;
        bool paused = false;
        bool chunked_request = false;
        bool request_complete = true;  // the complete request has been written to it
        bool expects_no_body = false;
        int skipped_responses = 0;  // to earlier requests, read while waiting for this one's response
        RequestId request = 0;      // 0: the connection is idle
        std::string attempt_id{};
        std::string pending_output{};  // written before the connection was established
        runtime::Time started_at = 0;  // of the attempt
        // How long it is kept when idle; until the host states a Keep-Alive time-out, the default.
        runtime::Time idle_timeout = 4 * runtime::tenths_per_second;
        net::Deadlines::Key deadline{};
    };
    struct Host {
        asio::ip::tcp::endpoint address;
        std::size_t max_connections = 0;
        std::size_t connections = 0;
        bool removed = false;           // erased with its last connection
        std::vector<AttemptId> idle{};  // the most recently used last
    };

    void opened(net::Handle socket, std::uint32_t mark, bool up) override;
    void received(net::Handle socket, std::uint32_t mark) override;
    void ended(net::Handle socket, std::uint32_t mark) override;
    void drained(net::Handle socket, std::uint32_t mark) override;

    std::vector<AttemptId> connecting_to(EndpointId endpoint);
    AttemptId take_idle(Host& host, std::string_view attempt_id);
    AttemptId take_connection(EndpointId endpoint, Host& host, std::string_view attempt_id);
    AttemptId open_connection(EndpointId endpoint, Host& host);
    void write(Connection& connection, std::string_view bytes);
    void handle_response(AttemptId id);
    // Whether the complete request has been handed to the operating system. Before that only a refusal is a
    // valid response.
    bool request_fully_sent(const Connection& connection) const;
    bool matches_attempt(const Connection& connection) const;
    void stream_response(AttemptId id, Connection& connection);
    UpstreamResponse take_response(Connection& connection) const;
    AttemptOutcome classify_response(const Connection& connection) const;
    void finish_attempt(AttemptId id, AttemptOutcome outcome);
    void finish_attempt_later(RequestId request, EndpointId endpoint, AttemptOutcome outcome);
    void release_to_idle(AttemptId id, Connection& connection);
    void close(AttemptId id);

    runtime::EventLoop& loop_;
    AttemptHandler& handler_;
    net::Slots<Connection> connections_;
    std::map<EndpointId, Host> hosts_;
};

}  // namespace dewweir::gateway
