// Calls HTTP interfaces of others (the platform's list): one GET at a time over a kept connection, with a
// time-out.
#pragma once

#include <functional>
#include <string>

#include "net/http.h"
#include "runtime/event_loop.h"

namespace dewweir::api {

enum class CallError : std::uint8_t { none, connect_failed, timed_out, broken };

struct CallResult {
    CallError error = CallError::none;
    int status = 0;
    std::string body{};
};

class Client : net::ConnectionHandler {
  public:
    using Done = std::function<void(const CallResult&)>;

    Client(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& address, std::size_t most_body);
    ~Client() override;

    // Must not be called while a call is out.
    void get(const std::string& target, runtime::Time within, Done done);
    bool busy() const { return static_cast<bool>(done_); }

  private:
    void opened(net::Handle connection, std::uint32_t mark, bool up) override;
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    void over(CallError error);
    void drop_connection();

    runtime::EventLoop& loop_;
    asio::ip::tcp::endpoint address_;
    std::size_t most_body_;
    std::unique_ptr<net::HttpReader> reader_;
    net::Handle connection_ = 0;
    std::string request_;
    Done done_;
    runtime::Timer deadline_;
};

}  // namespace dewweir::api
