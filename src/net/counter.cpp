#include "counter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dewweir::net {
namespace {

constexpr Time least_pause = 250, most_pause = 10000;  // before the connection is opened again
constexpr Time idle = 30000;                           // then a ping, well within the 10 s of the counter
constexpr std::size_t most_line = 256;

}  // namespace

Counter::Counter(const Part& part, Counts& counts) : Part(part), counts_(counts) {
    if (!told_.counter) return;
    open();
    watch();
}

void Counter::open() {
    up_ = false;
    connection_ = connections_.open(*told_.counter, *this, 0, told_.connect_within);
    if (!connection_) lost("no connection left");
}

void Counter::opened(Handle, std::uint32_t, bool up) {
    if (!up) return lost("no connection");
    up_ = true;
    last_word_ = deadlines_.now();
    for (Call& call : calls_) connections_.send(connection_, {std::exchange(call.line, {})});
}

// What was written may have been added; what was not never will be.
void Counter::lost(const char* why) {
    log_.line(Level::warning, std::string("counter: ") + why);
    if (connection_) connections_.close(connection_);
    connection_ = 0;
    up_ = false;
    pause_ = std::clamp(2 * pause_, least_pause, most_pause);
    first_ += calls_.size();
    std::deque<Call> calls = std::exchange(calls_, {});
    deadlines_.after(pause_, [this] { open(); });
    for (Call& call : calls) tell(call, call.line.empty() ? Verdict::timeout : Verdict::connect_failed);
}

void Counter::ended(Handle connection, std::uint32_t) {
    if (connection != connection_) return;
    // A line that has not left whole was never a call.
    std::size_t unsent = connections_.unsent(connection);
    for (auto call = calls_.rbegin(); call != calls_.rend() && unsent; ++call) {
        call->line = "not sent";
        unsent -= std::min(unsent, call->size);
    }
    lost("connection ended");
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
    const std::uint64_t number = first_ + calls_.size();
    const std::size_t size = line.size();
    calls_.push_back({name, std::move(line), size, deadlines_.now(), ping, false, {}});
    Call& call = calls_.back();
    // While the connection is lost, the end comes in the next turn.
    const Time limit = connection_ ? told_.count_limit : 0;
    call.deadline = deadlines_.after(limit, [this, number] { late(number); });
    if (up_) connections_.send(connection_, {std::exchange(call.line, {})});
}

void Counter::late(std::uint64_t number) {
    if (number < first_ || number - first_ >= calls_.size()) return;
    // What was written waits for its answer, so that the order holds.
    if (calls_[number - first_].line.empty()) return tell(calls_[number - first_], Verdict::timeout);
    // What was not is the first in line: nothing is written while there is no connection, and all have one
    // limit.
    Call call = std::move(calls_.front());
    calls_.pop_front();
    ++first_;
    tell(call, Verdict::connect_failed);
}

// Keeps an idle connection from being closed, and gives up one that has gone silent.
void Counter::watch() {
    deadlines_.after(idle / 10, [this] { watch(); });
    if (!up_) return;
    if (calls_.empty() && deadlines_.now() - last_word_ > idle) put("ping\r\n", 0, true);
    const Time silent = std::max<Time>(20 * told_.count_limit, 10000);
    if (!calls_.empty() && deadlines_.now() - std::max(last_word_, calls_.front().made) > silent)
        lost("silent");
}

void Counter::tell(Call& call, Verdict verdict, double total) {
    deadlines_.drop(call.deadline);
    if (std::exchange(call.told, true) || call.ping) return;
    counts_.counted(call.name, verdict, total, deadlines_.now() - call.made);
}

void Counter::received(Handle connection, std::uint32_t) {
    Ring& in = connections_.in(connection);
    while (connection == connection_ && !in.empty()) {
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
        answered(line);
    }
}

void Counter::answered(std::string_view line) {
    if (calls_.empty()) return lost("an answer to no call");
    last_word_ = deadlines_.now();
    pause_ = 0;
    Call call = std::move(calls_.front());
    calls_.pop_front();
    ++first_;
    double total = 0;
    const bool ok = line.substr(0, 3) == "ok ";
    if (ok) {
        const auto [end, fault] = std::from_chars(line.data() + 3, line.data() + line.size(), total);
        if (fault != std::errc() || end != line.data() + line.size() || !std::isfinite(total)) {
            tell(call, Verdict::timeout);
            return lost("an unreadable answer");
        }
    }
    if (ok) tell(call, Verdict::ok, total);
    else if (line == "busy") tell(call, Verdict::full);
    else if (line == "error") tell(call, Verdict::error);
    else if (call.ping && line == "pong") tell(call, Verdict::ok);
    else tell(call, Verdict::timeout), lost("an unreadable answer");
}

}  // namespace dewweir::net
