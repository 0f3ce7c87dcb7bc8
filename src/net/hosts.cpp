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
    if (known == numbers_.end() && entry.state == HostState::removed) return 0;
    const std::uint32_t number = known == numbers_.end() ? ++last_number_ : known->second;
    Host& host = hosts_[number];
    if (known == numbers_.end()) {
        host.id = entry.id;
        numbers_[entry.id] = number;
        log_.tell(Event::host_named, "host " + std::to_string(number) + " is " + entry.id,
                  {{"host", number}, {"id", entry.id}});
    }
    // At another address, or started again: what stands idle leads nowhere.
    if (entry.state != HostState::removed &&
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
        if (!named.contains(number)) now_stands(number, host, HostState::removed);
}

void Hosts::now_stands(std::uint32_t number, Host& host, HostState state) {
    const HostState before = std::exchange(host.state, state);
    if (before == HostState::ready && state != HostState::ready) not_ready(number);
    if (before != HostState::removed && state == HostState::removed) forget_later(number, host);
    if (state != HostState::removed) deadlines_.drop(host.leaving);
}

void Hosts::forget_later(std::uint32_t number, Host& host) {
    host.leaving = deadlines_.after(remembered, [this, number] {
        Host& gone = hosts_.at(number);
        if (gone.upstreams) return forget_later(number, gone);  // an attempt is still out there
        numbers_.erase(gone.id);
        hosts_.erase(number);
    });
}

void Hosts::release_idle(Host& host) {
    for (const Handle upstream : std::vector<Handle>(host.idle))
        give_back(upstream, *upstreams_.find(upstream));
}

// Nothing more is written there: idle connections go back, and what waits for its connection is not sent.
void Hosts::not_ready(std::uint32_t host) {
    release_idle(hosts_.at(host));
    std::vector<Handle> waiting;
    upstreams_.each([&](Handle mark, UpstreamConnection& upstream) {
        if (upstream.host == host && !upstream.up) waiting.push_back(mark);
    });
    for (const Handle mark : waiting) {
        const UpstreamConnection& upstream = *upstreams_.find(mark);
        later_over(upstream.request, host, AttemptOutcome::not_sent, deadlines_.now() - upstream.sent);
        give_back(mark, *upstreams_.find(mark));
    }
}

Handle Hosts::open_upstream(std::uint32_t host) {
    // A little stays for the counter and for discovery.
    if (!connections_.room(0.1)) drop_oldest_idle();
    if (!connections_.room(0.1)) return 0;
    const Handle mark = upstreams_.add(host);
    if (!mark) return 0;
    UpstreamConnection& upstream = *upstreams_.find(mark);
    upstream.connection = connections_.open(hosts_.at(host).address, *this, mark, told_.connect_within);
    if (upstream.connection) return ++hosts_.at(host).upstreams, mark;
    upstreams_.remove(mark);
    return 0;
}

// The one used last that is fit for more: an answer may be followed by what belongs to none, or by its end.
Handle Hosts::idle_upstream(Host& host) {
    while (!host.idle.empty()) {
        const Handle mark = host.idle.back();
        UpstreamConnection& upstream = *upstreams_.find(mark);
        take_from_idle(mark);
        if (connections_.quiet(upstream.connection)) return mark;
        give_back(mark, upstream);
    }
    return 0;
}

// Of all hosts, the connection that has stood idle for longest.
void Hosts::drop_oldest_idle() {
    Handle oldest = 0;
    Deadlines::Key first{};
    for (const auto& [number, host] : hosts_) {
        if (host.idle.empty()) continue;
        const UpstreamConnection& upstream = *upstreams_.find(host.idle.front());
        if (!oldest || upstream.deadline < first) oldest = host.idle.front(), first = upstream.deadline;
    }
    if (oldest) give_back(oldest, *upstreams_.find(oldest));
}

Handle Hosts::start_attempt(Handle request, std::uint32_t host, std::string_view head, std::string_view body,
                            Time give_up_after) {
    Handle mark = 0;
    const auto to = hosts_.find(host);
    if (to != hosts_.end() && to->second.state == HostState::ready) {
        mark = idle_upstream(to->second);
        if (!mark) mark = open_upstream(host);
    }
    if (!mark) {
        // Drained a moment ago, or all our connections are out: no fault of the host's.
        const std::string id = to != hosts_.end() ? to->second.id : std::to_string(host);
        log_.tell(Event::host_no_connection, "hosts: no connection for an execution on " + id, {{"id", id}});
        later_over(request, host, AttemptOutcome::not_sent, 0);
        return 0;
    }
    UpstreamConnection& upstream = *upstreams_.find(mark);
    upstream.request = request;
    upstream.sent = deadlines_.now();
    upstream.deadline = deadlines_.after(give_up_after, [this, mark] {
        UpstreamConnection* const late = upstreams_.find(mark);
        if (late) over(mark, *late, AttemptOutcome::timeout);
    });
    char limit[48];
    // Seconds with four decimals: whole tenths of a millisecond.
    const auto end = std::to_chars(limit, limit + sizeof limit, static_cast<double>(give_up_after) / 10000,
                                   std::chars_format::fixed, 4);
    const std::string_view seconds(limit, static_cast<std::size_t>(end.ptr - limit));
    if (upstream.up) {
        connections_.send(upstream.connection, {head, "X-Deadline: ", seconds, "\r\n\r\n", body});
    } else {
        upstream.waiting.reserve(head.size() + body.size() + 48);
        upstream.waiting.append(head).append("X-Deadline: ").append(seconds).append("\r\n\r\n").append(body);
    }
    return mark;
}

void Hosts::call_off(Handle attempt) {
    UpstreamConnection* const upstream = upstreams_.find(attempt);
    if (!upstream || !upstream->request) return;
    later_over(upstream->request, upstream->host, AttemptOutcome::cancelled,
               deadlines_.now() - upstream->sent);
    give_back(attempt, *upstream);
}

void Hosts::opened(Handle, std::uint32_t mark, bool up) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!up) {
        upstream->connection = 0;
        return over(mark, *upstream, AttemptOutcome::connect_failed);
    }
    upstream->up = true;
    connections_.send(upstream->connection, {upstream->waiting});
    upstream->waiting = {};
}

void Hosts::received(Handle connection, std::uint32_t mark) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!upstream->request) return give_back(mark, *upstream);  // it speaks unasked
    HttpReader& reader = upstream->reader;
    HttpReader::State state = reader.read(connections_.in(connection));
    while (state == HttpReader::State::whole && reader.status() < 200) {  // an interim answer
        if (++upstream->interim > most_interim) return over(mark, *upstream, AttemptOutcome::broken);
        reader.next();
        state = reader.read(connections_.in(connection));
    }
    if (state == HttpReader::State::more) return;
    if (state == HttpReader::State::bad) return over(mark, *upstream, AttemptOutcome::broken);
    const bool full = (reader.status() == 503 || reader.status() == 504) && reader.field("X-Not-Run") == "1";
    const AttemptOutcome outcome = reader.status() == 200 ? AttemptOutcome::ok
                                   : full                 ? AttemptOutcome::overloaded
                                                          : AttemptOutcome::error;
    // Before its last byte was written the host cannot have begun it: whatever this is, it answers
    // nothing.
    if (outcome != AttemptOutcome::overloaded && connections_.unsent(connection))
        return over(mark, *upstream, AttemptOutcome::connect_failed);
    Answer answer;
    if (outcome == AttemptOutcome::ok) {
        reader.pass_on(answer.fields, {"X-Load"});
        answer.body = std::move(reader.body());
    }
    over(mark, *upstream, outcome, answer);
}

void Hosts::ended(Handle connection, std::uint32_t mark) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!upstream->request) return give_back(mark, *upstream);
    // Before its last byte was written the host cannot have begun it.
    over(mark, *upstream,
         connections_.unsent(connection) ? AttemptOutcome::connect_failed : AttemptOutcome::broken);
}

// Ends what is out on an upstream connection. The connection is kept if its answer came whole and the
// connection is fit for more; it is so before the end is told, since the next attempt is often asked for in
// that moment, and there.
void Hosts::over(Handle mark, UpstreamConnection& upstream, AttemptOutcome outcome, const Answer& answer) {
    const Handle request = std::exchange(upstream.request, 0);
    const std::uint32_t host = upstream.host;
    const Time took = deadlines_.now() - upstream.sent;
    deadlines_.drop(upstream.deadline);
    // Bytes after the answer, or an answer before all was sent, leave the connection unfit for more.
    const bool fit = outcome != AttemptOutcome::broken && upstream.reader.whole() &&
                     upstream.reader.keep_alive() && connections_.in(upstream.connection).empty() &&
                     connections_.unsent(upstream.connection) == 0 &&
                     hosts_.at(host).state == HostState::ready;
    upstream.reader.next();
    upstream.interim = 0;
    if (fit) rest(mark, upstream);
    else give_back(mark, upstream);
    outcomes_.attempt_over(request, host, outcome, took, answer);
}

void Hosts::rest(Handle mark, UpstreamConnection& upstream) {
    hosts_.at(upstream.host).idle.push_back(mark);
    // Well before the host's own time, so that nothing is written to a connection that it is closing.
    upstream.deadline = deadlines_.after(told_.idle_close * 3 / 4, [this, mark] {
        UpstreamConnection* const old = upstreams_.find(mark);
        if (old && !old->request) give_back(mark, *old);
    });
}

void Hosts::take_from_idle(Handle mark) {
    UpstreamConnection& upstream = *upstreams_.find(mark);
    std::erase(hosts_.at(upstream.host).idle, mark);
    deadlines_.drop(upstream.deadline);
}

void Hosts::give_back(Handle mark, UpstreamConnection& upstream) {
    take_from_idle(mark);
    --hosts_.at(upstream.host).upstreams;
    connections_.close(upstream.connection);
    upstreams_.remove(mark);
}

void Hosts::later_over(Handle request, std::uint32_t host, AttemptOutcome outcome, Time took) {
    asio::post(io_, [this, request, host, outcome, took] {
        deadlines_.turn();
        outcomes_.attempt_over(request, host, outcome, took, {});
    });
}

}  // namespace dewweir::net
