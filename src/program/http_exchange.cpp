#include "program/http_exchange.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <optional>

#include "net/http.h"

namespace dewweir::program {
namespace {

constexpr std::size_t max_response_bytes = 32u << 20;
constexpr std::size_t chunk_bytes = 64u << 10;

std::string encode(const ControlAddress& address, const HttpRequest& request) {
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + to_string(address);
    text.append("\r\nConnection: close\r\n");
    if (!request.if_match.empty()) text.append("If-Match: ").append(request.if_match).append("\r\n");
    if (!request.body.empty()) text.append("Content-Type: application/json\r\n");
    if (request.method != "GET") {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(request.body);
}

// One connection with one request; the steps are called in order, each once.
class Exchange {
  public:
    explicit Exchange(std::chrono::milliseconds stall_timeout)
        : stall_timeout_(stall_timeout), socket_(io_) {}

    // connect() and send() return an error, or nothing on success.
    std::optional<ExchangeError> connect(const ControlAddress& address) {
        asio::error_code error;
        asio::ip::tcp::resolver resolver(io_);
        const auto endpoints = resolver.resolve(address.host, address.port, error);
        if (error) return ExchangeError::unknown_host;
        asio::async_connect(socket_, endpoints,
                            [this](const asio::error_code& result, const asio::ip::tcp::endpoint&) {
                                on_complete(result, 0);
                            });
        if (wait() != Outcome::completed) return ExchangeError::not_connected;
        return std::nullopt;
    }

    std::optional<ExchangeError> send(const std::string& text) {
        asio::async_write(
            socket_, asio::buffer(text),
            [this](const asio::error_code& error, std::size_t bytes) { on_complete(error, bytes); });
        return error_of(wait());
    }

    ExchangeResult receive() {
        net::HttpReader reader(HTTP_RESPONSE, max_response_bytes);
        net::Ring ring;
        while (true) {
            socket_.async_read_some(
                asio::buffer(chunk_),
                [this](const asio::error_code& error, std::size_t bytes) { on_complete(error, bytes); });
            if (const auto error = error_of(wait())) return *error;
            ring.append({chunk_.data(), bytes_});
            const net::HttpReader::State state = reader.read(ring);
            if (state == net::HttpReader::State::bad) return ExchangeError::connection_lost;
            if (state == net::HttpReader::State::complete) break;
        }
        HttpResponse response;
        response.status = static_cast<int>(reader.status());
        response.location = reader.field("Location");
        response.body = std::move(reader.body());
        return response;
    }

  private:
    enum class Outcome { completed, timed_out, failed };

    static std::optional<ExchangeError> error_of(Outcome outcome) {
        if (outcome == Outcome::timed_out) return ExchangeError::timed_out;
        if (outcome == Outcome::failed) return ExchangeError::connection_lost;
        return std::nullopt;
    }

    void on_complete(const asio::error_code& error, std::size_t bytes) {
        error_ = error;
        bytes_ = bytes;
        completed_ = true;
    }

    // Runs the event loop until the operation that was started completes, at most the stall timeout.
    Outcome wait() {
        completed_ = false;
        io_.restart();
        io_.run_for(stall_timeout_);
        if (!completed_) return Outcome::timed_out;
        return error_ ? Outcome::failed : Outcome::completed;
    }

    std::chrono::milliseconds stall_timeout_;
    std::array<char, chunk_bytes> chunk_{};
    bool completed_ = false;
    asio::error_code error_;
    std::size_t bytes_ = 0;
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
};

}  // namespace

std::string_view to_string(ExchangeError error) {
    switch (error) {
        case ExchangeError::unknown_host: return "the host's name has no address";
        case ExchangeError::not_connected: return "no connection";
        case ExchangeError::timed_out: return "no answer in time";
        case ExchangeError::connection_lost: return "the connection broke before an answer";
    }
    return "";
}

ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                        std::chrono::milliseconds stall_timeout) {
    Exchange call(stall_timeout);
    if (const auto error = call.connect(address)) return *error;
    const std::string text = encode(address, request);
    if (const auto error = call.send(text)) return *error;
    return call.receive();
}

}  // namespace dewweir::program
