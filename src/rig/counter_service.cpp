#include "counter_service.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace dewweir::rig {
namespace {

constexpr std::size_t most_line = 256, most_name = 64, most_ways = 32 * 64;
constexpr double most_amount = 1e9;

std::string total_of(double total) {
    char text[64];
    const auto end = std::to_chars(text, text + sizeof text, total, std::chars_format::general, 9);
    return std::string(text, end.ptr);
}

}  // namespace

CounterService::CounterService(Loop& loop, const model::CounterTraits& traits, const tcp::endpoint& at)
    : loop_(loop),
      counter_(traits),
      door_(loop, at, [this](tcp::socket socket) { welcome(std::move(socket)); }) {}

CounterService::~CounterService() {
    ways_.each([&](std::uint32_t, Way& way) { loop_.connections.close(way.connection); });
}

void CounterService::die() {
    door_.close();
    std::vector<std::uint32_t> all;
    ways_.each([&](std::uint32_t mark, Way&) { all.push_back(mark); });
    for (const std::uint32_t mark : all) give_back(mark);
}

void CounterService::start() { door_.open(); }

void CounterService::welcome(tcp::socket socket) {
    if (ways_.size() >= most_ways) return;
    const std::uint32_t mark = ways_.add();
    if (!mark) return;
    Way& way = *ways_.find(mark);
    way.connection = loop_.connections.adopt(std::move(socket), *this, mark);
    if (!way.connection) ways_.remove(mark);
}

void CounterService::received(net::Handle connection, std::uint32_t mark) {
    net::Ring& in = loop_.connections.in(connection);
    for (Way* way = ways_.find(mark); way && !in.empty(); way = ways_.find(mark)) {
        const std::string_view part = in.filled()[0];
        const std::size_t end = part.find('\n');
        way->line.append(part.substr(0, end));
        in.consume(end == part.npos ? part.size() : end + 1);
        if (way->line.size() > most_line) return give_back(mark);
        if (end == part.npos) continue;
        std::string line = std::exchange(way->line, {});
        if (!line.empty() && line.back() == '\r') line.pop_back();
        call(mark, *way, line);
    }
}

void CounterService::call(std::uint32_t mark, Way& way, const std::string& line) {
    if (line == "ping") {
        way.due.push_back({true, "pong\r\n"});
        return flush(way);
    }
    ++calls_;
    std::istringstream words(line);
    std::string verb, name, more;
    double amount = 0;
    long long life = 0;
    const bool good = words >> verb >> name >> amount >> life && !(words >> more) && verb == "incr" &&
                      name.size() <= most_name && std::abs(amount) <= most_amount && life >= 1;
    if (!good) {
        way.due.push_back({true, "error\r\n"});
        return flush(way);
    }
    const auto answer = counter_.call(loop_.deadlines.now(), name, amount, life * 10);
    const std::uint64_t number = way.first + way.due.size();
    std::string said = answer.outcome == AttemptOutcome::overloaded ? "busy" : "ok " + total_of(answer.total);
    if (answer.outcome == AttemptOutcome::ok && spoilt_ > 0) --spoilt_, said = "ok ?";
    way.due.push_back({false, said + "\r\n"});
    if (answer.at < 0) return;  // nothing comes, nor anything behind it on this connection
    loop_.deadlines.after(answer.at - loop_.deadlines.now(), [this, mark, number] {
        Way* const asked = ways_.find(mark);
        if (!asked || number < asked->first || number - asked->first >= asked->due.size()) return;
        asked->due[number - asked->first].ready = true;
        flush(*asked);
    });
}

void CounterService::flush(Way& way) {
    while (!way.due.empty() && way.due.front().ready) {
        loop_.connections.send(way.connection, {way.due.front().line});
        way.due.pop_front();
        ++way.first;
    }
}

void CounterService::ended(net::Handle, std::uint32_t mark) { give_back(mark); }

void CounterService::give_back(std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    loop_.connections.close(way->connection);
    ways_.remove(mark);
}

}  // namespace dewweir::rig
