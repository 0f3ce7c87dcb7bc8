// The clients' side: owns the listening socket and what is known of each client's connection. It reads and
// checks requests, hands them on, and writes their one answer. It must never answer by its own choice, but
// for what is no request at all; nor end a connection that has something unread or unanswered.
#pragma once

#include <functional>

#include "http.h"
#include "part.h"

namespace dewweir::net {

struct ReceivedRequest {  // a request as a client put it
    int route_class, quota_plan;
    std::uint64_t tenant;
    double units;
    int gateways;
    Time time_limit;
    std::string id;          // the client's own
    std::string head, body;  // as it goes to a host: the first line, and the fields that pass through
};

class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    virtual Handle request_received(Handle client,
                                    ReceivedRequest&& received) = 0;  // 0: no room for it
    virtual bool is_open(const std::string& id) const = 0;
    virtual void client_disconnected(Handle request) = 0;
};

class Clients : public ConnectionHandler, NodeContext {
  public:
    Clients(const NodeContext& context, RequestHandler& handler);

    // The one answer to what this client has open.
    void answer(Handle client, int status, std::string_view fields, std::string_view body);
    // A planned end: no longer ready; `done` comes when the last client has its answer and has been let go.
    void stop(std::function<void()> done);

    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;
    void drained(Handle handle, std::uint32_t mark) override;

  private:
    struct Client {
        HttpReader reader{HTTP_REQUEST};
        Handle connection = 0, request = 0;
        bool busy = false, closing = false;  // `last`: its answer ends the connection
        bool has_sent_message = false;       // has sent a whole message
        bool message_timed = false;          // its message has a limit from its first byte
        Time idle_since = 0;                 // since it was opened, or answered last
        Deadlines::Key deadline{};           // to send a message, to read its answer, or to stand idle
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
    std::size_t active_clients_ = 0;  // how many of them have sent a whole message
    bool stopping_ = false, short_of_sockets_ = false;
    std::function<void()> done_;
};

}  // namespace dewweir::net
