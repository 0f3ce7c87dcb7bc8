#include "counter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dewweir::net {
namespace {

constexpr Time min_reconnect_delay = 250,
               max_reconnect_delay = 10000;  // backoff before reconnecting
constexpr Time ping_after = 30000;           // 3 s; the counter closes connections that are idle for 10 s
constexpr Time silence_timeouts = 4;  // call timeouts without any reply before the connection is replaced
constexpr std::size_t max_line_bytes = 256;

}  // namespace

Counter::Counter(const NodeContext& context, CounterListener& listener)
    : NodeContext(context), listener_(listener) {
    if (!configuration_.counter) return;
    address_ = *configuration_.counter;
    links_[mark_];
    open();
    keep_alive();
}

void Counter::open() {
    Link& link = links_.at(mark_);
    link.connection = connections_.open(address_, *this, mark_, configuration_.connect_timeout);
    if (!link.connection) connection_lost(mark_, "no connection left");
}

void Counter::set_address(const tcp::endpoint& address) {
    if (links_.empty() || address == address_) return;
    address_ = address;
    replace_connection();
}

// Connects to the current address at once. An established connection with calls in flight stays open until
// the last of them has ended; otherwise it is closed, and calls not yet written move to the new connection.
void Counter::replace_connection() {
    deadlines_.cancel(reconnect_timer_);
    reconnect_delay_ = 0;
    Link& old = links_.at(mark_);
    if (old.connected && !old.calls.empty()) {
        links_[++mark_];
    } else {
        if (old.connection) connections_.close(old.connection);
        old.connection = 0;
        old.connected = false;
    }
    open();
}

void Counter::opened(Handle, std::uint32_t mark, bool connected) {
    if (!connected) return connection_lost(mark, "no connection");
    Link& link = links_.at(mark);
    link.connected = true;
    link.last_reply_at = deadlines_.now();
    for (Call& call : link.calls) connections_.send(link.connection, {std::exchange(call.line, {})});
}

// Calls that were written may have been counted (`written_outcome`); the others were not (connect_failed).
void Counter::connection_lost(std::uint32_t mark, const char* why, AttemptOutcome written_outcome) {
    log_.record(Event::counter_lost, std::string("counter: ") + why, {{"why", why}});
    Link& link = links_.at(mark);
    if (link.connection) connections_.close(link.connection);
    link.connection = 0;
    link.connected = false;
    link.first_number += link.calls.size();
    std::deque<Call> calls = std::exchange(link.calls, {});
    if (mark != mark_) {
        links_.erase(mark);
    } else if (written_outcome == AttemptOutcome::broken && reconnect_delay_ == 0) {
        // The counter replied properly before and replied in time now: reconnect at once.
        reconnect_delay_ = min_reconnect_delay;
        open();
    } else {
        reconnect_delay_ = std::clamp(2 * reconnect_delay_, min_reconnect_delay, max_reconnect_delay);
        reconnect_timer_ = deadlines_.after(reconnect_delay_, [this] {
            reconnect_timer_ = {};
            open();
        });
    }
    for (Call& call : calls)
        finish_call(call, call.line.empty() ? written_outcome : AttemptOutcome::connect_failed);
}

void Counter::ended(Handle connection, std::uint32_t mark) {
    // A line that was not completely sent was never a call.
    std::size_t unsent = connections_.unsent_bytes(connection);
    std::deque<Call>& calls = links_.at(mark).calls;
    for (auto call = calls.rbegin(); call != calls.rend() && unsent; ++call) {
        call->line = "not sent";
        unsent -= std::min(unsent, call->size);
    }
    connection_lost(mark, "connection ended");
}

void Counter::add(std::uint64_t name, double amount, Time keep_for) {
    char text[64];
    const auto end = std::to_chars(text, text + sizeof text, amount, std::chars_format::fixed);
    std::string line = "incr " + std::to_string(name) + " ";
    line.append(text, end.ptr)
        .append(" ")
        .append(std::to_string(std::max<Time>(1, keep_for / 10)))
        .append("\r\n");
    send_call(std::move(line), name, false);
}

void Counter::send_call(std::string line, std::uint64_t name, bool ping) {
    Link& link = links_.at(mark_);
    const std::uint64_t number = link.first_number + link.calls.size();
    const std::size_t size = line.size();
    link.calls.push_back({name, std::move(line), size, deadlines_.now(), ping, false, {}});
    Call& call = link.calls.back();
    // Without a connection the call fails in the next loop iteration.
    const Time limit = link.connection ? configuration_.counter_timeout : 0;
    call.deadline = deadlines_.after(limit, [this, mark = mark_, number] { call_timed_out(mark, number); });
    if (link.connected) connections_.send(link.connection, {std::exchange(call.line, {})});
}

void Counter::call_timed_out(std::uint32_t mark, std::uint64_t number) {
    Link& link = links_.at(mark);
    if (number < link.first_number || number - link.first_number >= link.calls.size()) return;
    // A written call stays in the queue until its reply comes, to keep the order; replaced connections take
    // no new calls.
    if (Call& call = link.calls[number - link.first_number]; call.line.empty()) {
        // No reply to any call for several timeouts: the connection is dead rather than slow.
        const Time silence = deadlines_.now() - std::max(link.last_reply_at, link.calls.front().started_at);
        if (mark == mark_ && silence >= silence_timeouts * configuration_.counter_timeout)
            return connection_lost(mark, "silent");
        const bool last = mark != mark_ && number - link.first_number + 1 == link.calls.size();
        finish_call(call, AttemptOutcome::timeout);
        if (last) {
            connections_.close(link.connection);
            links_.erase(mark);
        }
        return;
    }
    // An unwritten call is at the front of the queue: nothing is written without a connection, and all calls
    // have the same timeout.
    Call call = std::move(link.calls.front());
    link.calls.pop_front();
    ++link.first_number;
    finish_call(call, AttemptOutcome::connect_failed);
}

// Pings an idle connection so that the counter keeps it open; an unanswered ping reveals a dead connection.
void Counter::keep_alive() {
    deadlines_.after(ping_after / 10, [this] { keep_alive(); });
    const Link& link = links_.at(mark_);
    if (!link.connected) return;
    if (link.calls.empty() && deadlines_.now() - link.last_reply_at > ping_after)
        send_call("ping\r\n", 0, true);
}

void Counter::finish_call(Call& call, AttemptOutcome outcome, double total) {
    deadlines_.cancel(call.deadline);
    if (std::exchange(call.finished, true) || call.ping) return;
    listener_.counter_replied(call.name, outcome, total, deadlines_.now() - call.started_at);
}

void Counter::received(Handle connection, std::uint32_t mark) {
    // Handling a reply may close or replace the link.
    for (auto link = links_.find(mark); link != links_.end() && link->second.connection == connection;
         link = links_.find(mark)) {
        Ring& in = connections_.in(connection);
        if (in.empty()) return;
        std::string line;
        for (const std::string_view context : in.filled()) {
            const std::size_t end = context.find('\n');
            line.append(context.substr(0, end));
            if (end != context.npos) {
                line += '\n';
                break;
            }
        }
        if (line.back() != '\n' && line.size() < max_line_bytes) return;
        in.consume(line.size());
        while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
        handle_reply(mark, line);
    }
}

void Counter::handle_reply(std::uint32_t mark, std::string_view line) {
    Link& link = links_.at(mark);
    if (link.calls.empty()) return connection_lost(mark, "an answer to no call");
    double total = 0;
    AttemptOutcome outcome = AttemptOutcome::broken;
    if (line.substr(0, 3) == "ok ") {
        const auto [end, fault] = std::from_chars(line.data() + 3, line.data() + line.size(), total);
        if (fault == std::errc() && end == line.data() + line.size() && std::isfinite(total))
            outcome = AttemptOutcome::ok;
    } else if (line == "busy") {
        outcome = AttemptOutcome::overloaded;
    } else if (line == "error") {
        outcome = AttemptOutcome::error;
    } else if (link.calls.front().ping && line == "pong") {
        outcome = AttemptOutcome::ok;
    }
    // After an unreadable reply the matching by order is lost, so the connection is given up.
    if (outcome == AttemptOutcome::broken) return connection_lost(mark, "an unreadable answer", outcome);
    link.last_reply_at = deadlines_.now();
    reconnect_delay_ = 0;
    Call call = std::move(link.calls.front());
    link.calls.pop_front();
    ++link.first_number;
    if (mark != mark_ && link.calls.empty()) {
        connections_.close(link.connection);
        links_.erase(mark);
    }
    finish_call(call, outcome, total);
}

}  // namespace dewweir::net
