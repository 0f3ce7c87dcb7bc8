#include "hosts.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <unordered_set>

namespace dewweir::net {
namespace {

// A host that returns under its id within a minute keeps its number; after that it gets a new one.
constexpr Time removed_host_retention = 600000;
constexpr int max_interim_responses = 8;

}  // namespace

Hosts::Hosts(const NodeContext& context, AttemptListener& listener)
    : NodeContext(context), listener_(listener) {}

std::uint32_t Hosts::update(const HostEntry& entry) {
    const auto known = numbers_.find(entry.id);
    if (known == numbers_.end() && entry.state == HostState::removed) return 0;
    const std::uint32_t number = known == numbers_.end() ? ++last_number_ : known->second;
    Host& host = hosts_[number];
    if (known == numbers_.end()) {
        host.id = entry.id;
        numbers_[entry.id] = number;
        log_.record(Event::host_named, "host " + std::to_string(number) + " is " + entry.id,
                    {{"host", number}, {"id", entry.id}});
    }
    // The host moved or restarted: its idle connections are stale.
    if (entry.state != HostState::removed &&
        (host.address != entry.address || host.up_since != entry.up_since)) {
        host.address = entry.address;
        host.up_since = entry.up_since;
        close_idle_upstreams(host);
    }
    set_state(number, host, entry.state);
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

void Hosts::remove_unlisted(const std::vector<HostEntry>& entries) {
    std::unordered_set<std::uint32_t> listed;
    for (const HostEntry& entry : entries)
        if (const auto known = numbers_.find(entry.id); known != numbers_.end()) listed.insert(known->second);
    for (auto& [number, host] : hosts_)
        if (!listed.contains(number)) set_state(number, host, HostState::removed);
}

void Hosts::set_state(std::uint32_t number, Host& host, HostState state) {
    const HostState before = std::exchange(host.state, state);
    if (before == HostState::ready && state != HostState::ready) stop_sending(number);
    if (before != HostState::removed && state == HostState::removed) schedule_removal(number, host);
    if (state != HostState::removed) deadlines_.cancel(host.removal);
}

void Hosts::schedule_removal(std::uint32_t number, Host& host) {
    host.removal = deadlines_.after(removed_host_retention, [this, number] {
        Host& removed = hosts_.at(number);
        if (removed.upstreams) return schedule_removal(number, removed);  // an attempt is still in flight
        numbers_.erase(removed.id);
        hosts_.erase(number);
    });
}

void Hosts::close_idle_upstreams(Host& host) {
    for (const Handle upstream : std::vector<Handle>(host.idle))
        close_upstream(upstream, *upstreams_.find(upstream));
}

// Closes the idle connections and ends attempts that still wait for their connection as not_sent.
void Hosts::stop_sending(std::uint32_t host) {
    close_idle_upstreams(hosts_.at(host));
    std::vector<Handle> waiting;
    upstreams_.each([&](Handle mark, UpstreamConnection& upstream) {
        if (upstream.host == host && !upstream.connected) waiting.push_back(mark);
    });
    for (const Handle mark : waiting) {
        const UpstreamConnection& upstream = *upstreams_.find(mark);
        post_attempt_ended(upstream.request, host, AttemptOutcome::not_sent,
                           deadlines_.now() - upstream.started_at);
        close_upstream(mark, *upstreams_.find(mark));
    }
}

Handle Hosts::open_upstream(std::uint32_t host) {
    // A tenth of the sockets is reserved for the counter and discovery.
    if (!connections_.has_room(0.1)) close_longest_idle();
    if (!connections_.has_room(0.1)) return 0;
    const Handle mark = upstreams_.add(host);
    if (!mark) return 0;
    UpstreamConnection& upstream = *upstreams_.find(mark);
    upstream.connection =
        connections_.open(hosts_.at(host).address, *this, mark, configuration_.connect_timeout);
    if (upstream.connection) {
        ++hosts_.at(host).upstreams;
        return mark;
    }
    upstreams_.remove(mark);
    return 0;
}

// Returns the most recently used idle connection without unread bytes or an end of stream; others are closed.
Handle Hosts::idle_upstream(Host& host) {
    while (!host.idle.empty()) {
        const Handle mark = host.idle.back();
        UpstreamConnection& upstream = *upstreams_.find(mark);
        remove_from_idle(mark);
        if (connections_.is_quiet(upstream.connection)) return mark;
        close_upstream(mark, upstream);
    }
    return 0;
}

// Closes the longest idle connection of all hosts.
void Hosts::close_longest_idle() {
    Handle oldest = 0;
    Deadlines::Key first{};
    for (const auto& [number, host] : hosts_) {
        if (host.idle.empty()) continue;
        const UpstreamConnection& upstream = *upstreams_.find(host.idle.front());
        if (!oldest || upstream.deadline < first) {
            oldest = host.idle.front();
            first = upstream.deadline;
        }
    }
    if (oldest) close_upstream(oldest, *upstreams_.find(oldest));
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
        // The host was just drained or the connection table is full: not a failure of the host.
        const std::string id = to != hosts_.end() ? to->second.id : std::to_string(host);
        log_.record(Event::host_no_connection, "hosts: no connection for an attempt on host " + id,
                    {{"id", id}});
        post_attempt_ended(request, host, AttemptOutcome::not_sent, 0);
        return 0;
    }
    UpstreamConnection& upstream = *upstreams_.find(mark);
    upstream.request = request;
    upstream.started_at = deadlines_.now();
    upstream.deadline = deadlines_.after(give_up_after, [this, mark] {
        UpstreamConnection* const late = upstreams_.find(mark);
        if (late) finish_attempt(mark, *late, AttemptOutcome::timeout);
    });
    char limit[48];
    // Seconds with four decimals, the resolution of Time.
    const auto end = std::to_chars(limit, limit + sizeof limit, static_cast<double>(give_up_after) / 10000,
                                   std::chars_format::fixed, 4);
    const std::string_view seconds(limit, static_cast<std::size_t>(end.ptr - limit));
    if (upstream.connected) {
        connections_.send(upstream.connection, {head, "X-Deadline: ", seconds, "\r\n\r\n", body});
    } else {
        upstream.unsent_request.reserve(head.size() + body.size() + 48);
        upstream.unsent_request.append(head)
            .append("X-Deadline: ")
            .append(seconds)
            .append("\r\n\r\n")
            .append(body);
    }
    return mark;
}

void Hosts::cancel(Handle attempt) {
    UpstreamConnection* const upstream = upstreams_.find(attempt);
    if (!upstream || !upstream->request) return;
    post_attempt_ended(upstream->request, upstream->host, AttemptOutcome::cancelled,
                       deadlines_.now() - upstream->started_at);
    close_upstream(attempt, *upstream);
}

void Hosts::opened(Handle, std::uint32_t mark, bool connected) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!connected) {
        upstream->connection = 0;
        return finish_attempt(mark, *upstream, AttemptOutcome::connect_failed);
    }
    upstream->connected = true;
    connections_.send(upstream->connection, {upstream->unsent_request});
    upstream->unsent_request = {};
}

void Hosts::received(Handle connection, std::uint32_t mark) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!upstream->request) return close_upstream(mark, *upstream);  // unsolicited data
    HttpReader& reader = upstream->reader;
    HttpReader::State state = reader.read(connections_.in(connection));
    while (state == HttpReader::State::complete && reader.status() < 200) {  // an interim response
        if (++upstream->interim_responses > max_interim_responses)
            return finish_attempt(mark, *upstream, AttemptOutcome::broken);
        reader.next();
        state = reader.read(connections_.in(connection));
    }
    if (state == HttpReader::State::more) return;
    if (state == HttpReader::State::bad) return finish_attempt(mark, *upstream, AttemptOutcome::broken);
    const bool refused =
        (reader.status() == 503 || reader.status() == 504) && reader.field("X-Not-Run") == "1";
    const AttemptOutcome outcome = reader.status() == 200 ? AttemptOutcome::ok
                                   : refused              ? AttemptOutcome::overloaded
                                                          : AttemptOutcome::error;
    // The host cannot have executed a request that was not completely sent, so this is not a response to it.
    if (outcome != AttemptOutcome::overloaded && connections_.unsent_bytes(connection))
        return finish_attempt(mark, *upstream, AttemptOutcome::connect_failed);
    HostResponse answer;
    if (outcome == AttemptOutcome::ok) {
        reader.append_forwarded_fields(answer.fields, {"X-Load"});
        answer.body = std::move(reader.body());
    }
    finish_attempt(mark, *upstream, outcome, answer);
}

void Hosts::ended(Handle connection, std::uint32_t mark) {
    UpstreamConnection* const upstream = upstreams_.find(mark);
    if (!upstream) return;
    if (!upstream->request) return close_upstream(mark, *upstream);
    // The host cannot have executed a request that was not completely sent.
    finish_attempt(
        mark, *upstream,
        connections_.unsent_bytes(connection) ? AttemptOutcome::connect_failed : AttemptOutcome::broken);
}

// Ends the attempt on a connection. The connection is returned to the pool first if it is reusable, because
// the listener often starts the next attempt on the same host within its callback.
void Hosts::finish_attempt(Handle mark, UpstreamConnection& upstream, AttemptOutcome outcome,
                           const HostResponse& answer) {
    const Handle request = std::exchange(upstream.request, 0);
    const std::uint32_t host = upstream.host;
    const Time elapsed = deadlines_.now() - upstream.started_at;
    deadlines_.cancel(upstream.deadline);
    // Extra bytes after the response, or a response before the whole request was sent, make the connection
    // unusable.
    const bool reusable = outcome != AttemptOutcome::broken && upstream.reader.complete() &&
                          upstream.reader.keep_alive() && connections_.in(upstream.connection).empty() &&
                          connections_.unsent_bytes(upstream.connection) == 0 &&
                          hosts_.at(host).state == HostState::ready;
    upstream.reader.next();
    upstream.interim_responses = 0;
    if (reusable) make_idle(mark, upstream);
    else close_upstream(mark, upstream);
    listener_.attempt_ended(request, host, outcome, elapsed, answer);
}

void Hosts::make_idle(Handle mark, UpstreamConnection& upstream) {
    hosts_.at(upstream.host).idle.push_back(mark);
    // Well before the host's own idle timeout, so that no request is written to a connection that the host is
    // closing.
    upstream.deadline = deadlines_.after(configuration_.upstream_idle_close * 3 / 4, [this, mark] {
        UpstreamConnection* const old = upstreams_.find(mark);
        if (old && !old->request) close_upstream(mark, *old);
    });
}

void Hosts::remove_from_idle(Handle mark) {
    UpstreamConnection& upstream = *upstreams_.find(mark);
    std::erase(hosts_.at(upstream.host).idle, mark);
    deadlines_.cancel(upstream.deadline);
}

void Hosts::close_upstream(Handle mark, UpstreamConnection& upstream) {
    remove_from_idle(mark);
    --hosts_.at(upstream.host).upstreams;
    connections_.close(upstream.connection);
    upstreams_.remove(mark);
}

void Hosts::post_attempt_ended(Handle request, std::uint32_t host, AttemptOutcome outcome, Time elapsed) {
    asio::post(io_, [this, request, host, outcome, elapsed] {
        deadlines_.update_now();
        listener_.attempt_ended(request, host, outcome, elapsed, {});
    });
}

}  // namespace dewweir::net
