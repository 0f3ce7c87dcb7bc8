#include "hosts.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <unordered_set>

namespace dewweir::net {
namespace {

// One that comes back under its id within a minute is the host it was; later it is a new one.
constexpr Time remembered = 600000;
constexpr int most_interim = 8;

}  // namespace

Hosts::Hosts(const Part& part, Outcomes& outcomes) : Part(part), outcomes_(outcomes) {}

std::uint32_t Hosts::listed(const Entry& entry) {
    const auto known = numbers_.find(entry.id);
    if (known == numbers_.end() && entry.state == HostState::gone) return 0;
    const std::uint32_t number = known == numbers_.end() ? ++last_number_ : known->second;
    Host& host = hosts_[number];
    if (known == numbers_.end()) {
        host.id = entry.id;
        numbers_[entry.id] = number;
        log_.tell(Event::host_named, "host " + std::to_string(number) + " is " + entry.id,
                  {{"host", number}, {"id", entry.id}});
    }
    // At another address, or started again: what stands idle leads nowhere.
    if (entry.state != HostState::gone &&
        (host.address != entry.address || host.up_since != entry.up_since)) {
        host.address = entry.address;
        host.up_since = entry.up_since;
        release_idle(host);
    }
    now_stands(number, host, entry.state);
    return number;
}

std::string Hosts::id_of(std::uint32_t host) const {
    const auto at = hosts_.find(host);
    return at == hosts_.end() ? std::string() : at->second.id;
}

std::uint32_t Hosts::number_of(const std::string& id) const {
    const auto at = numbers_.find(id);
    return at == numbers_.end() ? 0 : at->second;
}

void Hosts::keep_only(const std::vector<Entry>& entries) {
    std::unordered_set<std::uint32_t> named;
    for (const Entry& entry : entries)
        if (const auto known = numbers_.find(entry.id); known != numbers_.end()) named.insert(known->second);
    for (auto& [number, host] : hosts_)
        if (!named.contains(number)) now_stands(number, host, HostState::gone);
}

void Hosts::now_stands(std::uint32_t number, Host& host, HostState state) {
    const HostState before = std::exchange(host.state, state);
    if (before == HostState::ready && state != HostState::ready) not_ready(number);
    if (before != HostState::gone && state == HostState::gone) forget_later(number, host);
    if (state != HostState::gone) deadlines_.drop(host.leaving);
}

void Hosts::forget_later(std::uint32_t number, Host& host) {
    host.leaving = deadlines_.after(remembered, [this, number] {
        Host& gone = hosts_.at(number);
        if (gone.ways) return forget_later(number, gone);  // an execution is still out there
        numbers_.erase(gone.id);
        hosts_.erase(number);
    });
}

void Hosts::release_idle(Host& host) {
    for (const Handle way : std::vector<Handle>(host.idle)) give_back(way, *ways_.find(way));
}

// Nothing more is written there: idle connections go back, and what waits for its connection is not sent.
void Hosts::not_ready(std::uint32_t host) {
    release_idle(hosts_.at(host));
    std::vector<Handle> waiting;
    ways_.each([&](Handle mark, Way& way) {
        if (way.host == host && !way.up) waiting.push_back(mark);
    });
    for (const Handle mark : waiting) {
        const Way& way = *ways_.find(mark);
        later_over(way.submission, host, AttemptOutcome::not_sent, deadlines_.now() - way.sent);
        give_back(mark, *ways_.find(mark));
    }
}

Handle Hosts::open_way(std::uint32_t host) {
    // A little stays for the counter and for discovery.
    if (!connections_.room(0.1)) drop_oldest_idle();
    if (!connections_.room(0.1)) return 0;
    const Handle mark = ways_.add(host);
    if (!mark) return 0;
    Way& way = *ways_.find(mark);
    way.connection = connections_.open(hosts_.at(host).address, *this, mark, told_.connect_within);
    if (way.connection) return ++hosts_.at(host).ways, mark;
    ways_.remove(mark);
    return 0;
}

// The one used last that is fit for more: an answer may be followed by what belongs to none, or by its end.
Handle Hosts::idle_way(Host& host) {
    while (!host.idle.empty()) {
        const Handle mark = host.idle.back();
        Way& way = *ways_.find(mark);
        take_from_idle(mark);
        if (connections_.quiet(way.connection)) return mark;
        give_back(mark, way);
    }
    return 0;
}

// Of all hosts, the connection that has stood idle for longest.
void Hosts::drop_oldest_idle() {
    Handle oldest = 0;
    Deadlines::Key first{};
    for (const auto& [number, host] : hosts_) {
        if (host.idle.empty()) continue;
        const Way& way = *ways_.find(host.idle.front());
        if (!oldest || way.deadline < first) oldest = host.idle.front(), first = way.deadline;
    }
    if (oldest) give_back(oldest, *ways_.find(oldest));
}

Handle Hosts::start_attempt(Handle submission, std::uint32_t host, std::string_view head,
                            std::string_view body, Time give_up_after) {
    Handle mark = 0;
    const auto to = hosts_.find(host);
    if (to != hosts_.end() && to->second.state == HostState::ready) {
        mark = idle_way(to->second);
        if (!mark) mark = open_way(host);
    }
    if (!mark) {
        // Drained a moment ago, or all our connections are out: no fault of the host's.
        const std::string id = to != hosts_.end() ? to->second.id : std::to_string(host);
        log_.tell(Event::host_no_connection, "hosts: no connection for an execution on " + id, {{"id", id}});
        later_over(submission, host, AttemptOutcome::not_sent, 0);
        return 0;
    }
    Way& way = *ways_.find(mark);
    way.submission = submission;
    way.sent = deadlines_.now();
    way.deadline = deadlines_.after(give_up_after, [this, mark] {
        Way* const late = ways_.find(mark);
        if (late) over(mark, *late, AttemptOutcome::timeout);
    });
    char limit[48];
    // Seconds with four decimals: whole tenths of a millisecond.
    const auto end = std::to_chars(limit, limit + sizeof limit, static_cast<double>(give_up_after) / 10000,
                                   std::chars_format::fixed, 4);
    const std::string_view seconds(limit, static_cast<std::size_t>(end.ptr - limit));
    if (way.up) {
        connections_.send(way.connection, {head, "X-Deadline: ", seconds, "\r\n\r\n", body});
    } else {
        way.waiting.reserve(head.size() + body.size() + 48);
        way.waiting.append(head).append("X-Deadline: ").append(seconds).append("\r\n\r\n").append(body);
    }
    return mark;
}

void Hosts::call_off(Handle execution) {
    Way* const way = ways_.find(execution);
    if (!way || !way->submission) return;
    later_over(way->submission, way->host, AttemptOutcome::called_off, deadlines_.now() - way->sent);
    give_back(execution, *way);
}

void Hosts::opened(Handle, std::uint32_t mark, bool up) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (!up) {
        way->connection = 0;
        return over(mark, *way, AttemptOutcome::connect_failed);
    }
    way->up = true;
    connections_.send(way->connection, {way->waiting});
    way->waiting = {};
}

void Hosts::received(Handle connection, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (!way->submission) return give_back(mark, *way);  // it speaks unasked
    HttpReader& reader = way->reader;
    HttpReader::State state = reader.read(connections_.in(connection));
    while (state == HttpReader::State::whole && reader.status() < 200) {  // an interim answer
        if (++way->interim > most_interim) return over(mark, *way, AttemptOutcome::broken);
        reader.next();
        state = reader.read(connections_.in(connection));
    }
    if (state == HttpReader::State::more) return;
    if (state == HttpReader::State::bad) return over(mark, *way, AttemptOutcome::broken);
    const bool full = (reader.status() == 503 || reader.status() == 504) && reader.field("X-Not-Run") == "1";
    const AttemptOutcome outcome = reader.status() == 200 ? AttemptOutcome::ok
                                   : full                 ? AttemptOutcome::full
                                                          : AttemptOutcome::error;
    // Before its last byte was written the host cannot have begun it: whatever this is, it answers
    // nothing.
    if (outcome != AttemptOutcome::full && connections_.unsent(connection))
        return over(mark, *way, AttemptOutcome::connect_failed);
    Answer answer;
    if (outcome == AttemptOutcome::ok) {
        reader.pass_on(answer.fields, {"X-Load"});
        answer.body = std::move(reader.body());
    }
    over(mark, *way, outcome, answer);
}

void Hosts::ended(Handle connection, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (!way->submission) return give_back(mark, *way);
    // Before its last byte was written the host cannot have begun it.
    over(mark, *way,
         connections_.unsent(connection) ? AttemptOutcome::connect_failed : AttemptOutcome::broken);
}

// Ends what is out on a way. The way is kept if its answer came whole and the connection is fit for more; it
// is so before the end is told, since the next execution is often asked for in that moment, and there.
void Hosts::over(Handle mark, Way& way, AttemptOutcome outcome, const Answer& answer) {
    const Handle submission = std::exchange(way.submission, 0);
    const std::uint32_t host = way.host;
    const Time took = deadlines_.now() - way.sent;
    deadlines_.drop(way.deadline);
    // Bytes after the answer, or an answer before all was sent, leave the connection unfit for more.
    const bool fit = outcome != AttemptOutcome::broken && way.reader.whole() && way.reader.keep_alive() &&
                     connections_.in(way.connection).empty() && connections_.unsent(way.connection) == 0 &&
                     hosts_.at(host).state == HostState::ready;
    way.reader.next();
    way.interim = 0;
    if (fit) rest(mark, way);
    else give_back(mark, way);
    outcomes_.execution_over(submission, host, outcome, took, answer);
}

void Hosts::rest(Handle mark, Way& way) {
    hosts_.at(way.host).idle.push_back(mark);
    // Well before the host's own time, so that nothing is written to a connection that it is closing.
    way.deadline = deadlines_.after(told_.idle_close * 3 / 4, [this, mark] {
        Way* const old = ways_.find(mark);
        if (old && !old->submission) give_back(mark, *old);
    });
}

void Hosts::take_from_idle(Handle mark) {
    Way& way = *ways_.find(mark);
    std::erase(hosts_.at(way.host).idle, mark);
    deadlines_.drop(way.deadline);
}

void Hosts::give_back(Handle mark, Way& way) {
    take_from_idle(mark);
    --hosts_.at(way.host).ways;
    connections_.close(way.connection);
    ways_.remove(mark);
}

void Hosts::later_over(Handle submission, std::uint32_t host, AttemptOutcome outcome, Time took) {
    asio::post(io_, [this, submission, host, outcome, took] {
        deadlines_.turn();
        outcomes_.execution_over(submission, host, outcome, took, {});
    });
}

}  // namespace dewweir::net
