// The client side of a gateway: owns the listening socket and the state of each client connection. Reads and
// validates requests, passes them on to a RequestHandler and writes exactly one response to each. Only
// messages that are not valid requests and readiness probes are answered here; a connection with unread
// input or an unanswered request is never closed.
#pragma once

#include <functional>

#include "http.h"
#include "part.h"

namespace dewweir::net {

// A validated client request.
struct ReceivedRequest {
    int route_class;  // index into Configuration::route_classes
    int quota_plan;   // index into Configuration::plans
    std::uint64_t tenant;
    double units;            // quota units that the request costs
    int gateways;            // number of gateways that the tenant's requests are spread over
    Time time_limit;         // time until the client's deadline
    std::string id;          // X-Request-Id as chosen by the client
    std::string head, body;  // as forwarded: request line and forwarded header fields, without the deadline
};

// Receives the validated requests.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    // Takes a request and returns its handle, or 0 when there is no capacity for it. May answer within the
    // call.
    virtual Handle request_received(Handle client, ReceivedRequest&& received) = 0;
    // Whether a request with this X-Request-Id is open.
    virtual bool is_open(const std::string& id) const = 0;
    // The client closed its connection before its request was answered.
    virtual void client_disconnected(Handle request) = 0;
};

// Listens for clients and handles one request at a time per connection (HTTP/1.1 keep-alive).
class Clients : public ConnectionHandler, NodeContext {
  public:
    Clients(const NodeContext& context, RequestHandler& handler);

    // Sends the single response to the open request of this client. `fields`: header fields, each ended by CR
    // LF.
    void answer(Handle client, int status, std::string_view fields, std::string_view body);
    // Starts a graceful shutdown: readiness fails from now on; calls `done` once the last client was answered
    // and its connection closed.
    void stop(std::function<void()> done);

    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;
    void drained(Handle handle, std::uint32_t mark) override;

  private:
    struct Client {
        HttpReader reader{HTTP_REQUEST};
        Handle connection = 0, request = 0;
        bool busy = false;              // a request is open
        bool closing = false;           // the connection closes after the next response
        bool has_sent_message = false;  // has sent at least one complete message
        bool message_timed = false;     // the message being read has its deadline already
        Time idle_since = 0;            // when the connection was opened or last answered
        Deadlines::Key deadline{};      // to send a message, to read the response, or to stay idle
    };

    void accept();
    void retry_accept_later();
    void add_client(tcp::socket socket);
    bool is_idle(Client& client);
    void set_deadline(Handle mark, Client& client, Time from_now);
    void deadline_passed(Handle mark);
    void close_longest_idle();
    void handle_message(Handle mark, Client& client);
    std::string_view parse_request(HttpReader& reader, ReceivedRequest& received) const;
    void answer_text(Client& client, int status, std::string_view why);
    void write(Client& client, int status, std::string_view fields, std::string_view body);
    void await_next_request(Handle mark, Client& client);
    void close_after_answer(Handle mark, Client& client);
    void remove(Handle mark, Client& client);
    void close_idle(Handle mark);
    void close_all_idle();

    RequestHandler& handler_;
    tcp::acceptor acceptor_;
    Slots<Client> clients_;
    std::size_t active_clients_ = 0;  // clients that have sent at least one complete message
    bool stopping_ = false, short_of_sockets_ = false;
    std::function<void()> done_;
};

}  // namespace dewweir::net
