#include "api/client.h"

namespace dewweir::api {

Client::Client(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& address, std::size_t most_body)
    : loop_(loop), address_(address), most_body_(most_body), deadline_(loop) {}

Client::~Client() { drop_connection(); }

void Client::get(const std::string& target, runtime::Time within, Done done) {
    done_ = std::move(done);
    request_ = "GET " + target + " HTTP/1.1\r\nHost: " + address_.address().to_string() + "\r\n\r\n";
    deadline_.start(within, [this] { over(CallError::timed_out); });
    if (connection_ && loop_.connections().is_quiet(connection_)) {
        loop_.connections().send(connection_, {request_});
        return;
    }
    drop_connection();
    reader_ = std::make_unique<net::HttpReader>(HTTP_RESPONSE, most_body_);
    connection_ = loop_.connections().open(address_, *this, 0, within);
    if (!connection_) loop_.post([this] { over(CallError::connect_failed); });
}

void Client::opened(net::Handle connection, std::uint32_t, bool up) {
    if (connection != connection_) return;
    if (up) {
        loop_.connections().send(connection, {request_});
        return;
    }
    connection_ = 0;
    over(CallError::connect_failed);
}

void Client::received(net::Handle connection, std::uint32_t) {
    if (connection != connection_ || !reader_) return;
    const net::HttpReader::State state = reader_->read(loop_.connections().in(connection));
    if (state == net::HttpReader::State::bad) return over(CallError::broken);
    if (state == net::HttpReader::State::complete) over(CallError::none);
}

void Client::ended(net::Handle connection, std::uint32_t) {
    if (connection != connection_) return;
    connection_ = 0;
    over(CallError::broken);
}

void Client::over(CallError error) {
    if (!done_) return drop_connection();
    deadline_.cancel();
    CallResult result{error};
    if (error == CallError::none) {
        result.status = static_cast<int>(reader_->status());
        result.body = std::move(reader_->body());
    }
    if (error != CallError::none || !reader_->keep_alive()) {
        drop_connection();
    } else {
        reader_->next();
    }
    const Done done = std::exchange(done_, nullptr);
    done(result);
}

void Client::drop_connection() {
    if (connection_) loop_.connections().close(std::exchange(connection_, 0));
}

}  // namespace dewweir::api
