#include "connections.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace dewweir::net {
namespace {

constexpr std::size_t min_read_bytes = 4096,
                      max_buffered_bytes = 16384;   // read granularity, and input held in a ring
constexpr Time close_timeout = 10000;               // 1 s for the peer to close
constexpr Time stall_timeout = 300000;              // 30 s without the peer reading anything
constexpr std::size_t max_discarded_bytes = 65536;  // of input that arrives while closing

}  // namespace

Handle Connections::adopt(tcp::socket socket, ConnectionHandler& user, std::uint32_t mark) {
    std::error_code fault;
    socket.non_blocking(true, fault);
    socket.set_option(tcp::no_delay(true), fault);
    const Handle handle = connections_.add(std::move(socket), &user, mark);
    if (!handle) return 0;
    connections_.find(handle)->connected = true;
    read(handle);
    return handle;
}

Handle Connections::open(const tcp::endpoint& to, ConnectionHandler& user, std::uint32_t mark, Time timeout) {
    const Handle handle = connections_.add(tcp::socket(io_), &user, mark);
    if (!handle) return 0;
    Connection& c = *connections_.find(handle);
    std::error_code fault;
    c.socket.open(tcp::v4(), fault);
    if (fault) {
        asio::post(io_, [this, handle] { connect_ended(handle, false); });
        return handle;
    }
    c.socket.non_blocking(true, fault);
    c.socket.set_option(tcp::no_delay(true), fault);
    c.socket.async_connect(to,
                           [this, handle](const std::error_code& ended) { connect_ended(handle, !ended); });
    c.deadline = deadlines_.after(timeout, [this, handle] { connect_ended(handle, false); });
    return handle;
}

void Connections::connect_ended(Handle handle, bool connected) {
    Connection* c = connections_.find(handle);
    if (!c || c->connected) return;
    deadlines_.update_now();
    deadlines_.cancel(c->deadline);
    ConnectionHandler* const user = c->user;
    const std::uint32_t mark = c->mark;
    if (!connected) {
        close(handle);
        return user->opened(handle, mark, false);
    }
    c->connected = true;
    user->opened(handle, mark, true);
    c = connections_.find(handle);
    if (!c) return;
    read(handle);
    if (!c->out.empty() && !c->writing) write(handle);
}

bool Connections::is_quiet(Handle handle) {
    Connection& c = *connections_.find(handle);
    char byte;
    std::error_code fault;
    c.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, fault);
    return c.in.empty() && (fault == asio::error::would_block || fault == asio::error::try_again);
}

// Waits for readability and reads then: bytes are delivered in the iteration that reads them, so `is_quiet`
// misses nothing, and an idle connection holds no buffer.
void Connections::read(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    c->in.trim();
    if (!c->connected || c->reading || c->peer_ended_sending || c->in.size() >= max_buffered_bytes) return;
    c->reading = true;
    c->socket.async_wait(tcp::socket::wait_read,
                         [this, handle](const std::error_code& fault) { readable(handle, fault); });
}

void Connections::readable(Handle handle, std::error_code fault) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.update_now();
    c->reading = false;
    std::size_t n = 0;
    if (!fault) {
        c->in.make_room(min_read_bytes);
        const auto space = c->in.space();
        const std::array<asio::mutable_buffer, 2> to = {asio::buffer(space[0].at, space[0].size),
                                                        asio::buffer(space[1].at, space[1].size)};
        n = c->socket.read_some(to, fault);
    }
    if (fault == asio::error::eof && !c->closing && c->user->keeps_half_closed(handle, c->mark)) {
        c->peer_ended_sending = true;
        return;
    }
    if (fault && fault != asio::error::would_block && fault != asio::error::try_again) return ended(handle);
    c->in.commit(n);
    if (c->closing) {
        // A peer that keeps sending is no longer read; TCP flow control stops it.
        c->in.consume(c->in.size());
        if ((c->discarded += n) > max_discarded_bytes) return;
    } else if (n) {
        c->user->received(handle, c->mark);
    }
    read(handle);
}

void Connections::redeliver(Handle handle) {
    asio::post(io_, [this, handle] {
        Connection* const c = connections_.find(handle);
        if (!c || c->closing) return;
        deadlines_.update_now();
        c->user->received(handle, c->mark);
        read(handle);
    });
}

void Connections::send(Handle handle, std::initializer_list<std::string_view> parts) {
    Connection& c = *connections_.find(handle);
    std::size_t all = 0;
    for (const std::string_view part : parts) all += part.size();
    c.out.make_room(all);
    for (const std::string_view part : parts)
        if (!part.empty()) c.out.append(part);
    if (c.connected && !c.writing) write(handle);
}

void Connections::write(Handle handle) {
    Connection& c = *connections_.find(handle);
    while (!c.out.empty()) {
        const auto filled = c.out.filled();
        const std::array<asio::const_buffer, 2> from = {asio::buffer(filled[0]), asio::buffer(filled[1])};
        std::error_code fault;
        const std::size_t n = c.socket.write_some(from, fault);
        if (fault == asio::error::would_block || fault == asio::error::try_again) {
            c.writing = true;
            c.socket.async_wait(tcp::socket::wait_write, [this, handle](const std::error_code& ended_by) {
                Connection* const waiting = connections_.find(handle);
                if (!waiting || ended_by) return;
                deadlines_.update_now();
                waiting->writing = false;
                write(handle);
                Connection* const left = connections_.find(handle);
                if (left && left->out.empty() && !left->closing) left->user->drained(handle, left->mark);
            });
            return;
        }
        if (fault) return post_ended(handle);
        c.out.consume(n);
        if (c.closing) set_close_deadline(handle, stall_timeout);
    }
    c.out.trim();
    if (c.closing) end_sending(handle);
}

void Connections::post_ended(Handle handle) {
    connections_.find(handle)->writing = true;  // nothing more is written
    asio::post(io_, [this, handle] { ended(handle); });
}

void Connections::ended(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.update_now();
    if (!c->closing) c->user->ended(handle, c->mark);
    close(handle);
}

void Connections::close(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.cancel(c->deadline);
    closing_ -= c->closing;
    std::error_code ignored;
    c->socket.close(ignored);
    connections_.remove(handle);
}

void Connections::reset(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    std::error_code ignored;
    c->socket.set_option(tcp::socket::linger(true, 0), ignored);
    close(handle);
}

void Connections::close_gracefully(Handle handle) {
    Connection& c = *connections_.find(handle);
    c.closing = true;
    ++closing_;
    c.in.consume(c.in.size());
    set_close_deadline(handle, stall_timeout);
    if (c.out.empty()) end_sending(handle);
    read(handle);
}

void Connections::set_close_deadline(Handle handle, Time from_now) {
    Connection& c = *connections_.find(handle);
    deadlines_.cancel(c.deadline);
    c.deadline = deadlines_.after(from_now, [this, handle] { close(handle); });
}

void Connections::end_sending(Handle handle) {
    std::error_code ignored;
    connections_.find(handle)->socket.shutdown(tcp::socket::shutdown_send, ignored);
    set_close_deadline(handle, close_timeout);
}

}  // namespace dewweir::net
