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

constexpr std::size_t most_answer_bytes = 32u << 20;
constexpr std::size_t piece_bytes = 64u << 10;

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

class Exchange {
  public:
    explicit Exchange(std::chrono::milliseconds silence) : silence_(silence), socket_(io_) {}

    // Each step returns why it failed, or nothing.
    std::optional<ExchangeFault> connect(const ControlAddress& address) {
        asio::error_code error;
        asio::ip::tcp::resolver resolver(io_);
        const auto endpoints = resolver.resolve(address.host, address.port, error);
        if (error) return ExchangeFault::unknown_host;
        asio::async_connect(
            socket_, endpoints,
            [this](const asio::error_code& fault, const asio::ip::tcp::endpoint&) { ended(fault, 0); });
        if (wait() != Progress::made) return ExchangeFault::not_connected;
        return std::nullopt;
    }

    std::optional<ExchangeFault> send(const std::string& text) {
        asio::async_write(socket_, asio::buffer(text),
                          [this](const asio::error_code& fault, std::size_t bytes) { ended(fault, bytes); });
        return fault_of(wait());
    }

    ExchangeResult receive() {
        net::HttpReader reader(HTTP_RESPONSE, most_answer_bytes);
        net::Ring ring;
        while (true) {
            socket_.async_read_some(asio::buffer(piece_), [this](const asio::error_code& fault,
                                                                 std::size_t bytes) { ended(fault, bytes); });
            if (const auto fault = fault_of(wait())) return *fault;
            ring.append({piece_.data(), bytes_});
            const net::HttpReader::State state = reader.read(ring);
            if (state == net::HttpReader::State::bad) return ExchangeFault::broken;
            if (state == net::HttpReader::State::complete) break;
        }
        HttpResponse response;
        response.status = static_cast<int>(reader.status());
        response.location = reader.field("Location");
        response.body = std::move(reader.body());
        return response;
    }

  private:
    enum class Progress { made, none, failed };

    static std::optional<ExchangeFault> fault_of(Progress progress) {
        if (progress == Progress::none) return ExchangeFault::silent;
        if (progress == Progress::failed) return ExchangeFault::broken;
        return std::nullopt;
    }

    void ended(const asio::error_code& fault, std::size_t bytes) {
        fault_ = fault;
        bytes_ = bytes;
        ended_ = true;
    }

    // Runs the one operation that was begun.
    Progress wait() {
        ended_ = false;
        io_.restart();
        io_.run_for(silence_);
        if (!ended_) return Progress::none;
        return fault_ ? Progress::failed : Progress::made;
    }

    std::chrono::milliseconds silence_;
    std::array<char, piece_bytes> piece_{};
    bool ended_ = false;
    asio::error_code fault_;
    std::size_t bytes_ = 0;
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
};

}  // namespace

std::string_view to_string(ExchangeFault fault) {
    switch (fault) {
        case ExchangeFault::unknown_host: return "the host's name has no address";
        case ExchangeFault::not_connected: return "no connection";
        case ExchangeFault::silent: return "no answer in time";
        case ExchangeFault::broken: return "the connection broke before an answer";
    }
    return "";
}

ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                        std::chrono::milliseconds silence) {
    Exchange call(silence);
    if (const auto fault = call.connect(address)) return *fault;
    const std::string text = encode(address, request);
    if (const auto fault = call.send(text)) return *fault;
    return call.receive();
}

}  // namespace dewweir::program
