// Client connections: reads requests one at a time on each, and writes their answers. Owns every client's
// connection and its time-outs. It must never decide where a request goes.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "configuration/configuration.h"
#include "net/http.h"
#include "runtime/event_loop.h"
#include "runtime/listener.h"

namespace dewweir::gateway {

using ClientId = net::Handle;   // of a client's connection; 0 is none
using RequestId = net::Handle;  // of a request being handled; 0 is none

// An answer's head; the body follows or is given whole.
struct AnswerHead {
    int status = 0;
    std::string fields{};                   // each line with its end
    std::optional<std::uint64_t> length{};  // nothing: in chunks
    bool bodiless = false;  // of HEAD, 204 or 304: `length` is what the host stated, if it did
};

class RequestUser {
  public:
    virtual ~RequestUser() = default;
    // A request's head has been read. The user answers now or later.
    virtual void request_begun(ClientId client, net::HttpReader& reader) = 0;
    // More of its body is in the reader, or all of it.
    virtual void request_body(ClientId client, net::HttpReader& reader) = 0;
    // The client has gone before its answer was complete.
    virtual void client_left(ClientId client) = 0;
    // What was written to the client has been handed to the system.
    virtual void client_writable(ClientId client) = 0;
};

class Front : net::ConnectionHandler {
  public:
    Front(runtime::EventLoop& loop, RequestUser& user);

    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    void set_limits(const configuration::ClientLimits& limits);
    // From now on every answer closes its connection, and idle ones are closed.
    void drain();
    // No further connection is taken, and those that are idle by now are closed.
    void stop_listening();
    std::size_t connections() const { return clients_.size(); }

    // The whole answer. The client's next request may follow.
    void answer(ClientId client, const AnswerHead& head, std::string_view body);
    void begin_answer(ClientId client, const AnswerHead& head);
    void continue_answer(ClientId client, std::string_view body);
    void end_answer(ClientId client);
    // The answer can't be completed: the client must see that it was cut.
    void abort(ClientId client);
    // Reads on where the reader's window was full.
    void read_on(ClientId client);
    std::size_t unsent(ClientId client);

  private:
    enum class State : std::uint8_t {
        idle,       // nothing of a request has come
        head,       // part of a head has come
        body,       // the head was told to the user, the body is coming
        answering,  // the request is whole
    };
    struct Client {
        explicit Client(const net::HttpLimits& limits) : reader(HTTP_REQUEST, limits) {}
        net::HttpReader reader;
        net::Handle connection = 0;
        State state = State::idle;
        bool chunked_answer = false;
        bool close_after = false;
        bool half_closed = false;         // the client sends no more, but reads
        runtime::Time request_ended = 0;  // when the request was whole
        net::Deadlines::Key deadline{};
    };

    void accepted(asio::ip::tcp::socket socket);
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    bool keeps_half_closed(net::Handle connection, std::uint32_t mark) override;
    void drained(net::Handle connection, std::uint32_t mark) override;

    void read(ClientId id, Client& client);
    void head_read(ClientId id);
    void body_read(ClientId id, Client& client);
    void invite_body(Client& client);
    void refuse(ClientId id, Client& client, int status);
    void send_head(Client& client, const AnswerHead& head, std::string_view body);
    void answered(ClientId id, Client& client);
    void await_request(ClientId id, Client& client);
    void set_deadline(ClientId id, Client& client, runtime::Time from_now);
    void deadline_passed(ClientId id);
    void close(ClientId id, Client& client);
    void close_idle();

    runtime::EventLoop& loop_;
    RequestUser& user_;
    configuration::ClientLimits limits_;
    net::HttpLimits reader_limits_;
    net::Slots<Client> clients_;
    std::optional<runtime::Listener> listener_;
    bool draining_ = false;
};

}  // namespace dewweir::gateway
