// Client-facing front end: accepts client connections, reads one request at a time on each and writes the
// responses. Owns every client connection and its time-outs. Takes no routing decisions.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "configuration/configuration.h"
#include "net/http.h"
#include "runtime/event_loop.h"
#include "runtime/listener.h"

namespace dewweir::gateway {

using ClientId = net::Handle;   // identifies a client connection; 0: none
using RequestId = net::Handle;  // identifies a request in progress; 0: none

// Head of a response to a client.
struct ResponseHead {
    int status = 0;
    std::string fields{};                   // header lines, each with its line end
    std::optional<std::uint64_t> length{};  // of the body in bytes; nothing: chunked transfer coding
    // The response has no body (to HEAD, or with status 204 or 304); `length` is then the length that the
    // upstream host stated, if any.
    bool no_body = false;
};

// Receives the requests of clients.
class ClientRequestHandler {
  public:
    virtual ~ClientRequestHandler() = default;
    // The head of a request has been read. The response follows from within this call or later.
    virtual void request_started(ClientId client, net::HttpReader& reader) = 0;
    // More of the request's body is in the reader, or its end.
    virtual void request_body_available(ClientId client, net::HttpReader& reader) = 0;
    // The client has disconnected before its response was complete. Its id is no longer valid.
    virtual void client_disconnected(ClientId client) = 0;
    // All bytes written to the client so far have been handed to the operating system.
    virtual void client_writable(ClientId client) = 0;
};

class FrontEnd : net::ConnectionHandler {
  public:
    FrontEnd(runtime::EventLoop& loop, ClientRequestHandler& handler);

    // Returns the reason if the address cannot be bound.
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    // Apply to each connection from its next request on.
    void set_limits(const configuration::ClientLimits& limits);
    // From now on every response closes its connection; idle connections are closed now.
    void drain();
    // Stops accepting connections and closes the idle ones.
    void stop_listening();
    std::size_t connections() const { return clients_.size(); }

    // Sends a complete response. The client's next request may follow at once.
    void send_response(ClientId client, const ResponseHead& head, std::string_view body);
    // A response whose body is sent in parts: its head, any number of parts, its end.
    void begin_response(ClientId client, const ResponseHead& head);
    void send_response_body(ClientId client, std::string_view body);
    void end_response(ClientId client);
    // Resets the connection: the response cannot be completed, and the client must not take it for complete.
    void abort(ClientId client);
    // Continues reading a request whose body had filled the reader's window.
    void resume_reading(ClientId client);
    // Bytes written to the client that have not been handed to the operating system yet.
    std::size_t unsent_bytes(ClientId client);

  private:
    enum class State : std::uint8_t {
        idle,          // no byte of a request has been received
        reading_head,  // part of a request head has been received
        reading_body,  // the handler has been given the head; the body is being received
        responding,    // the request is complete
    };
    struct Client {
        explicit Client(const net::HttpLimits& limits) : reader(HTTP_REQUEST, limits) {}
        net::HttpReader reader;
        net::Handle connection = 0;
        State state = State::idle;
        bool chunked_response = false;
        bool close_after_response = false;
        bool half_closed = false;            // the client sends no more, but still reads
        runtime::Time request_ended_at = 0;  // when the request was complete
        net::Deadlines::Key deadline{};
    };

    void accepted(asio::ip::tcp::socket socket);
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    bool keeps_half_closed(net::Handle connection, std::uint32_t mark) override;
    void drained(net::Handle connection, std::uint32_t mark) override;

    void read(ClientId id, Client& client);
    void handle_head(ClientId id);
    void handle_body(ClientId id, Client& client);
    void send_continue(Client& client);
    void reject(ClientId id, Client& client, int status);
    void send_head(Client& client, const ResponseHead& head, std::string_view body);
    void response_complete(ClientId id, Client& client);
    void await_request(ClientId id, Client& client);
    void set_deadline(ClientId id, Client& client, runtime::Time from_now);
    void deadline_passed(ClientId id);
    void close(ClientId id, Client& client);
    void close_idle();

    runtime::EventLoop& loop_;
    ClientRequestHandler& handler_;
    configuration::ClientLimits limits_;
    net::HttpLimits reader_limits_;
    net::Slots<Client> clients_;
    std::optional<runtime::Listener> listener_;
    bool draining_ = false;
};

}  // namespace dewweir::gateway
