#include "connections.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace dewweir::net {
namespace {

constexpr std::size_t least_read = 4096, most_held = 16384;  // of what has come and waits in the ring
constexpr Time linger = 10000;                               // a second for a peer to close
constexpr Time stalled = 300000;                             // half a minute in which a peer takes nothing
constexpr std::size_t most_discarded = 65536;                // of what it still sends meanwhile

}  // namespace

Handle Connections::adopt(tcp::socket socket, User& user, std::uint32_t mark) {
    std::error_code fault;
    socket.non_blocking(true, fault);
    socket.set_option(tcp::no_delay(true), fault);
    const Handle handle = connections_.add(std::move(socket), &user, mark);
    if (!handle) return 0;
    connections_.find(handle)->up = true;
    read(handle);
    return handle;
}

Handle Connections::open(const tcp::endpoint& to, User& user, std::uint32_t mark, Time within) {
    const Handle handle = connections_.add(tcp::socket(io_), &user, mark);
    if (!handle) return 0;
    Connection& c = *connections_.find(handle);
    std::error_code fault;
    c.socket.open(tcp::v4(), fault);
    if (fault) {
        asio::post(io_, [this, handle] { connected(handle, false); });
        return handle;
    }
    c.socket.non_blocking(true, fault);
    c.socket.set_option(tcp::no_delay(true), fault);
    c.socket.async_connect(to, [this, handle](const std::error_code& ended) { connected(handle, !ended); });
    c.deadline = deadlines_.after(within, [this, handle] { connected(handle, false); });
    return handle;
}

void Connections::connected(Handle handle, bool up) {
    Connection* c = connections_.find(handle);
    if (!c || c->up) return;
    deadlines_.turn();
    deadlines_.drop(c->deadline);
    User* const user = c->user;
    const std::uint32_t mark = c->mark;
    if (!up) {
        close(handle);
        return user->opened(handle, mark, false);
    }
    c->up = true;
    user->opened(handle, mark, true);
    c = connections_.find(handle);
    if (!c) return;
    read(handle);
    if (!c->out.empty() && !c->writing) write(handle);
}

bool Connections::quiet(Handle handle) {
    Connection& c = *connections_.find(handle);
    char byte;
    std::error_code fault;
    c.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, fault);
    return c.in.empty() && (fault == asio::error::would_block || fault == asio::error::try_again);
}

// Waits first and reads then: what has been read is told in the same turn, so `quiet` misses nothing, and a
// connection that waits holds no buffer.
void Connections::read(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    c->in.trim();
    if (!c->up || c->reading || c->half_closed || c->in.size() >= most_held) return;
    c->reading = true;
    c->socket.async_wait(tcp::socket::wait_read,
                         [this, handle](const std::error_code& fault) { readable(handle, fault); });
}

void Connections::readable(Handle handle, std::error_code fault) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.turn();
    c->reading = false;
    std::size_t n = 0;
    if (!fault) {
        c->in.make_room(least_read);
        const auto space = c->in.space();
        const std::array<asio::mutable_buffer, 2> to = {asio::buffer(space[0].at, space[0].size),
                                                        asio::buffer(space[1].at, space[1].size)};
        n = c->socket.read_some(to, fault);
    }
    if (fault == asio::error::eof && !c->finishing && c->user->keeps_half_closed(handle, c->mark)) {
        c->half_closed = true;
        return;
    }
    if (fault && fault != asio::error::would_block && fault != asio::error::try_again) return ended(handle);
    c->in.commit(n);
    if (c->finishing) {
        // Whoever goes on at full speed is left to the system, and costs no time here.
        c->in.consume(c->in.size());
        if ((c->discarded += n) > most_discarded) return;
    } else if (n) {
        c->user->received(handle, c->mark);
    }
    read(handle);
}

void Connections::again(Handle handle) {
    asio::post(io_, [this, handle] {
        Connection* const c = connections_.find(handle);
        if (!c || c->finishing) return;
        deadlines_.turn();
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
    if (c.up && !c.writing) write(handle);
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
                deadlines_.turn();
                waiting->writing = false;
                write(handle);
                Connection* const left = connections_.find(handle);
                if (left && left->out.empty() && !left->finishing) left->user->drained(handle, left->mark);
            });
            return;
        }
        if (fault) return later_ended(handle);
        c.out.consume(n);
        if (c.finishing) close_after(handle, stalled);
    }
    c.out.trim();
    if (c.finishing) end_sending(handle);
}

void Connections::later_ended(Handle handle) {
    connections_.find(handle)->writing = true;  // nothing more is written
    asio::post(io_, [this, handle] { ended(handle); });
}

void Connections::ended(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.turn();
    if (!c->finishing) c->user->ended(handle, c->mark);
    close(handle);
}

void Connections::close(Handle handle) {
    Connection* const c = connections_.find(handle);
    if (!c) return;
    deadlines_.drop(c->deadline);
    finishing_ -= c->finishing;
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

void Connections::finish(Handle handle) {
    Connection& c = *connections_.find(handle);
    c.finishing = true;
    ++finishing_;
    c.in.consume(c.in.size());
    close_after(handle, stalled);
    if (c.out.empty()) end_sending(handle);
    read(handle);
}

void Connections::close_after(Handle handle, Time from_now) {
    Connection& c = *connections_.find(handle);
    deadlines_.drop(c.deadline);
    c.deadline = deadlines_.after(from_now, [this, handle] { close(handle); });
}

void Connections::end_sending(Handle handle) {
    std::error_code ignored;
    connections_.find(handle)->socket.shutdown(tcp::socket::shutdown_send, ignored);
    close_after(handle, linger);
}

}  // namespace dewweir::net
