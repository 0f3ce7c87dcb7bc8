// The clients' side: owns the listening socket and what is known of each client's connection. It reads and
// checks requests, hands them on, and writes their one answer. It must never answer by its own choice, but
// for what is no request at all; nor end a connection that has something unread or unanswered.
#pragma once

#include <functional>

#include "http.h"
#include "part.h"

namespace dewweir::net {

struct ReceivedRequest {  // a request as a client put it
    int route_class, plan;
    std::uint64_t tenant;
    double units;
    int gateways;
    Time patience;
    std::string id;          // the client's own
    std::string head, body;  // as it goes to a host: the first line, and the fields that pass through
};

class Intake {
  public:
    virtual ~Intake() = default;
    virtual Handle request_received(Handle client,
                                    ReceivedRequest&& received) = 0;  // 0: no room for it
    virtual bool has_open(const std::string& id) const = 0;
    virtual void client_gone(Handle request) = 0;
};

class Clients : public User, Part {
  public:
    Clients(const Part& part, Intake& intake);

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
        bool busy = false, last = false;  // `last`: its answer ends the connection
        bool known = false;               // has sent a whole message
        bool late = false;                // its message has a limit from its first byte
        Time idle_since = 0;              // since it was opened, or answered last
        Deadlines::Key limit{};           // to send a message, to read its answer, or to stand idle
    };

    void accept();
    void accept_later();
    void welcome(tcp::socket socket);
    bool idle(Client& client);
    void limit(Handle mark, Client& client, Time within);
    void overdue(Handle mark);
    void make_room();
    void whole_message(Handle mark, Client& client);
    std::string_view what_is_wrong(HttpReader& reader, ReceivedRequest& received) const;
    void plain(Client& client, int status, std::string_view why);
    void write(Client& client, int status, std::string_view fields, std::string_view body);
    void rest(Handle mark, Client& client);
    void let_go(Handle mark, Client& client);
    void forget(Handle mark, Client& client);
    void close_idle(Handle mark);
    void close_all_idle();

    Intake& intake_;
    tcp::acceptor acceptor_;
    Slots<Client> clients_;
    std::size_t known_ = 0;  // how many of them have sent a whole message
    bool stopping_ = false, crowded_ = false;
    std::function<void()> done_;
};

}  // namespace dewweir::net
