#include "counter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dewweir::net {
namespace {

constexpr Time least_pause = 250, most_pause = 10000;  // before the connection is opened again
constexpr Time idle = 30000;                           // then a ping, well within the 10 s of the counter
constexpr Time most_silent = 4;                        // limits of a call
constexpr std::size_t most_line = 256;

}  // namespace

Counter::Counter(const Part& part, Counts& counts) : Part(part), counts_(counts) {
    if (!told_.counter) return;
    address_ = *told_.counter;
    links_[mark_];
    open();
    watch();
}

void Counter::open() {
    Link& link = links_.at(mark_);
    link.connection = connections_.open(address_, *this, mark_, told_.connect_within);
    if (!link.connection) lost(mark_, "no connection left");
}

void Counter::move_to(const tcp::endpoint& address) {
    if (links_.empty() || address == address_) return;
    address_ = address;
    retire();
}

// A new connection at once. Calls not yet written go with it; the others keep their answers and their order
// on the old one, until the last is told.
void Counter::retire() {
    deadlines_.drop(reopening_);
    pause_ = 0;
    Link& old = links_.at(mark_);
    if (old.up && !old.calls.empty()) {
        links_[++mark_];
    } else {
        if (old.connection) connections_.close(old.connection);
        old.connection = 0;
        old.up = false;
    }
    open();
}

void Counter::opened(Handle, std::uint32_t mark, bool up) {
    if (!up) return lost(mark, "no connection");
    Link& link = links_.at(mark);
    link.up = true;
    link.last_word = deadlines_.now();
    for (Call& call : link.calls) connections_.send(link.connection, {std::exchange(call.line, {})});
}

// What was written may have been added; what was not never will be.
void Counter::lost(std::uint32_t mark, const char* why, AttemptOutcome written) {
    log_.tell(Event::counter_lost, std::string("counter: ") + why, {{"why", why}});
    Link& link = links_.at(mark);
    if (link.connection) connections_.close(link.connection);
    link.connection = 0;
    link.up = false;
    link.first += link.calls.size();
    std::deque<Call> calls = std::exchange(link.calls, {});
    if (mark != mark_) {
        links_.erase(mark);
    } else if (written == AttemptOutcome::broken && pause_ == 0) {
        // It spoke well before, and what it says now is not slow: there is nothing to wait for.
        pause_ = least_pause;
        open();
    } else {
        pause_ = std::clamp(2 * pause_, least_pause, most_pause);
        reopening_ = deadlines_.after(pause_, [this] {
            reopening_ = {};
            open();
        });
    }
    for (Call& call : calls) tell(call, call.line.empty() ? written : AttemptOutcome::connect_failed);
}

void Counter::ended(Handle connection, std::uint32_t mark) {
    // A line that has not left whole was never a call.
    std::size_t unsent = connections_.unsent(connection);
    std::deque<Call>& calls = links_.at(mark).calls;
    for (auto call = calls.rbegin(); call != calls.rend() && unsent; ++call) {
        call->line = "not sent";
        unsent -= std::min(unsent, call->size);
    }
    lost(mark, "connection ended");
}

void Counter::count(std::uint64_t name, double amount, Time keep_for) {
    char text[64];
    const auto end = std::to_chars(text, text + sizeof text, amount, std::chars_format::fixed);
    std::string line = "incr " + std::to_string(name) + " ";
    line.append(text, end.ptr)
        .append(" ")
        .append(std::to_string(std::max<Time>(1, keep_for / 10)))
        .append("\r\n");
    put(std::move(line), name, false);
}

void Counter::put(std::string line, std::uint64_t name, bool ping) {
    Link& link = links_.at(mark_);
    const std::uint64_t number = link.first + link.calls.size();
    const std::size_t size = line.size();
    link.calls.push_back({name, std::move(line), size, deadlines_.now(), ping, false, {}});
    Call& call = link.calls.back();
    // While the connection is lost, the end comes in the next turn.
    const Time limit = link.connection ? told_.count_limit : 0;
    call.deadline = deadlines_.after(limit, [this, mark = mark_, number] { late(mark, number); });
    if (link.up) connections_.send(link.connection, {std::exchange(call.line, {})});
}

void Counter::late(std::uint32_t mark, std::uint64_t number) {
    Link& link = links_.at(mark);
    if (number < link.first || number - link.first >= link.calls.size()) return;
    // What was written waits for its answer, so that the order holds; on a connection that has been left,
    // nothing more is asked.
    if (Call& call = link.calls[number - link.first]; call.line.empty()) {
        // One that says nothing to anybody has gone silent, as a slow counter never does for long.
        const Time silent = deadlines_.now() - std::max(link.last_word, link.calls.front().made);
        if (mark == mark_ && silent >= most_silent * told_.count_limit) return lost(mark, "silent");
        const bool last = mark != mark_ && number - link.first + 1 == link.calls.size();
        tell(call, AttemptOutcome::timeout);
        if (last) connections_.close(link.connection), links_.erase(mark);
        return;
    }
    // What was not is the first in line: nothing is written while there is no connection, and all have one
    // limit.
    Call call = std::move(link.calls.front());
    link.calls.pop_front();
    ++link.first;
    tell(call, AttemptOutcome::connect_failed);
}

// Keeps an idle connection from being closed; a ping that gets no answer shows one that has gone silent.
void Counter::watch() {
    deadlines_.after(idle / 10, [this] { watch(); });
    const Link& link = links_.at(mark_);
    if (!link.up) return;
    if (link.calls.empty() && deadlines_.now() - link.last_word > idle) put("ping\r\n", 0, true);
}

void Counter::tell(Call& call, AttemptOutcome outcome, double total) {
    deadlines_.drop(call.deadline);
    if (std::exchange(call.told, true) || call.ping) return;
    counts_.counted(call.name, outcome, total, deadlines_.now() - call.made);
}

void Counter::received(Handle connection, std::uint32_t mark) {
    // The link may be given up, or left, within an answer.
    for (auto link = links_.find(mark); link != links_.end() && link->second.connection == connection;
         link = links_.find(mark)) {
        Ring& in = connections_.in(connection);
        if (in.empty()) return;
        std::string line;
        for (const std::string_view part : in.filled()) {
            const std::size_t end = part.find('\n');
            line.append(part.substr(0, end));
            if (end != part.npos) {
                line += '\n';
                break;
            }
        }
        if (line.back() != '\n' && line.size() < most_line) return;
        in.consume(line.size());
        while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.pop_back();
        answered(mark, line);
    }
}

void Counter::answered(std::uint32_t mark, std::string_view line) {
    Link& link = links_.at(mark);
    if (link.calls.empty()) return lost(mark, "an answer to no call");
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
    // Nothing more that comes on this connection can be trusted.
    if (outcome == AttemptOutcome::broken) return lost(mark, "an unreadable answer", outcome);
    link.last_word = deadlines_.now();
    pause_ = 0;
    Call call = std::move(link.calls.front());
    link.calls.pop_front();
    ++link.first;
    if (mark != mark_ && link.calls.empty()) connections_.close(link.connection), links_.erase(mark);
    tell(call, outcome, total);
}

}  // namespace dewweir::net
