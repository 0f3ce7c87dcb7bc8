// The remote end of one connection: a stub client or host, driven by the gateway's own event loop.
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <deque>
#include <memory>
#include <string>

namespace dewweir::gateway::tests {

class Peer {
  public:
    explicit Peer(asio::ip::tcp::socket socket) : socket_(std::move(socket)) { read(); }

    void send(std::string text) {
        unsent_.push_back(std::move(text));
        if (unsent_.size() == 1) write();
    }
    // Shuts down the sending side and continues reading.
    void end_sending() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }
    void close() { socket_.close(); }
    void reset() {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }
    void pause() { paused_ = true; }
    void resume() {
        if (!std::exchange(paused_, false)) return;
        if (!reading_) read();
    }

    std::string received;  // all received bytes, if `keep_received`
    std::size_t received_bytes = 0;
    bool keep_received = true;
    bool ended = false;  // by the other side, orderly or by a reset
    bool was_reset = false;
    std::size_t unsent() const { return unsent_.size(); }

    bool has(std::string_view text) const { return received.find(text) != std::string::npos; }
    std::size_t count(std::string_view text) const {
        std::size_t found = 0;
        for (std::size_t at = 0; (at = received.find(text, at)) != std::string::npos; ++at) ++found;
        return found;
    }

  private:
    void read() {
        reading_ = true;
        socket_.async_read_some(asio::buffer(buffer_),
                                [this](const std::error_code& error, std::size_t size) {
                                    reading_ = false;
                                    if (error == asio::error::operation_aborted) return;
                                    received_bytes += size;
                                    if (keep_received) received.append(buffer_.data(), size);
                                    if (error) {
                                        ended = true;
                                        was_reset = error != asio::error::eof;
                                        return;
                                    }
                                    if (!paused_) read();
                                });
    }
    void write() {
        asio::async_write(socket_, asio::buffer(unsent_.front()),
                          [this](const std::error_code& error, std::size_t) {
                              if (error == asio::error::operation_aborted) return;
                              unsent_.pop_front();
                              if (!error && !unsent_.empty()) write();
                          });
    }

    asio::ip::tcp::socket socket_;
    std::array<char, 65536> buffer_{};
    std::deque<std::string> unsent_;
    bool reading_ = false;
    bool paused_ = false;
};

}  // namespace dewweir::gateway::tests
