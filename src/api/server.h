// The system's own HTTP interfaces (operator calls, readiness, directory): a server of small calls with whole
// bodies. Calls are declared beside their handlers. It must never carry client traffic.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "api/status.h"
#include "net/http.h"
#include "runtime/event_loop.h"
#include "runtime/listener.h"

namespace dewweir::api {

struct Request {
    std::string_view method;
    std::string_view path;   // without the query
    std::string_view query;  // what follows the question mark, still encoded
    std::string_view rest;   // what follows the declared path, where it was declared as a prefix
    std::string if_match;
    std::string body;
};

struct Response {
    Status status = Status::ok;
    std::string body{};
    std::string location{};     // of a redirect
    std::string retry_after{};  // seconds, as text; empty for none
};

// The value of a query's field with its escapes decoded; nothing where it is absent.
std::optional<std::string> query_field(std::string_view query, std::string_view name);
// A body that says what is wrong and what to do.
std::string error_body(std::string_view reason, std::string_view advice);

// Answers one request, now or later. Of several calls for one request the first counts; calls after the
// connection has gone do nothing. A request that is not answered within handling_limit gets 503.
using Respond = std::function<void(const Response&)>;
using Handler = std::function<void(const Request&, Respond)>;

class Server : net::ConnectionHandler {
  public:
    Server(runtime::EventLoop& loop, std::size_t most_body);

    // Declares a call. `path` ending with '/' stands for every path that begins so.
    void declare(std::string_view method, std::string_view path, Handler handler);
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    void stop_listening();
    // Every request that is being handled gets this answer now; what its handler says later counts no more.
    void answer_open(const Response& response);

  private:
    struct Call {
        std::string method;
        std::string path;
        Handler handler;
    };
    struct Client {
        explicit Client(std::size_t most_body)
            : reader(HTTP_REQUEST, net::HttpLimits{.body = most_body, .chunked_requests = true}) {}
        net::HttpReader reader;
        net::Handle connection = 0;
        bool handling = false;
        std::uint64_t request = 0;  // counts the requests of this connection
        net::Deadlines::Key deadline{};
    };

    void accepted(asio::ip::tcp::socket socket);
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    void handle(std::uint32_t mark, Client& client);
    const Call* find_call(std::string_view method, std::string_view path, bool& path_known) const;
    // Answers the request `number` of the connection; nothing where it is answered already.
    void respond(std::uint32_t mark, std::uint64_t number, const Response& response);
    void refuse(std::uint32_t mark, Client& client, int status);
    void limit_handling(std::uint32_t mark, std::uint64_t number, Client& client);
    void expect_request(std::uint32_t mark, Client& client);

    runtime::EventLoop& loop_;
    std::size_t most_body_;
    std::vector<Call> calls_;
    net::Slots<Client> clients_;
    std::optional<runtime::Listener> listener_;
};

}  // namespace dewweir::api
