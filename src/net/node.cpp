#include "node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdio>

#include "decided.h"

namespace dewweir::net {

Node::Node(asio::io_context& io, Log& log, const Configuration& told, Tallies* tallies)
    : io_(io),
      log_(log),
      tallies_(tallies),
      // Alarms are as exact as in the simulator, which looks at them once a step.
      deadlines_(std::min<Time>(told.step, 50)),
      // Standard streams, listening, signals, the loop's own: 14 descriptors with a margin.
      connections_(io, deadlines_, told.sockets - 14),
      part_{io, deadlines_, connections_, log, told},
      hosts_(part_, *this),
      counter_(part_, *this),
      discovery_(part_, *this),
      decisions_(*this, told.settings, told.seed, deadlines_.now()),
      clients_(part_, *this) {
    if (!told.known.entries.empty()) list_told(told.known);
    // Where news must be asked for, the decision module asks by itself.
    if (!told.ask) discovery_.follow();
    if (tallies_) tally();
}

// At the same moments everywhere, so that gateways can be compared.
void Node::tally() {
    const Time every = tallies_->every();
    deadlines_.after(every - deadlines_.now() % every, [this] {
        tallies_->tell(log_, deadlines_.now());
        tally();
    });
}

void Node::keep(PeerObserver* peer_observer) {
    peer_observer_ = peer_observer;
    if (peer_observer_) peer_observer_->list_told(part_.told_.known);  // what every later list is a change to
}

void Node::run() {
    while (!io_.stopped()) {
        deadlines_.run_passed();
        // Due at once or not: sockets have their turn between any two rounds of deadlines.
        const auto next = deadlines_.next();
        if (next > std::chrono::steady_clock::now()) io_.run_one_until(next);
        else io_.poll_one();
    }
}

void Node::take_over(const Configuration& fresh) {
    deadlines_.turn();
    const Configuration& told = part_.told_;
    const std::pair<const char*, bool> others[] = {{"name", fresh.name != told.name},
                                                   {"listen", fresh.listen != told.listen},
                                                   {"limits.sockets", fresh.sockets != told.sockets},
                                                   {"settings", fresh.settings != told.settings}};
    for (const auto& [key, differs] : others)
        if (differs)
            log_.tell(Event::configuration_restart,
                      std::string("configuration: ") + key + ": needs a restart", {{"key", key}});
    discovery_.move_to(fresh.discovery);
    if (fresh.counter) counter_.move_to(*fresh.counter);
    log_.tell(Event::configuration_read, "configuration: read again");
}

// ---- what the module has done ----

void Node::start_attempt(std::uint32_t id, std::uint32_t host, Time give_up_after) {
    Request* const r = requests_.find(id);
    if (!r || !r->client || r->out) {
        asio::post(io_, [this, id, host] {
            deadlines_.turn();
            decisions_.attempt_ended(deadlines_.now(), id, 0, host, AttemptOutcome::not_sent, 0, true, 0);
        });
        return;
    }
    ++r->attempts;
    r->out = true;
    if (tallies_) tallies_->attempt_started(r->attempts == 1, r->units);
    if (peer_observer_) peer_observer_->host_asked(hosts_.id_of(host));
    r->attempt = hosts_.start_attempt(id, host, r->head, r->body, give_up_after);
}

void Node::refuse(std::uint32_t id, Time retry_after) {
    if (tallies_) tallies_->refused();
    char advice[48] = "";
    if (retry_after > 0)
        std::snprintf(advice, sizeof advice, "Retry-After: %.4f\r\n",
                      static_cast<double>(retry_after) / 10000);
    answer(id, 503, advice, "bounced: trying again is harmless\n");
}

void Node::fail(std::uint32_t id) {
    if (tallies_) tallies_->failed();
    answer(id, 502, {}, "written off\n");
}

void Node::cancel(std::uint32_t id, int attempt) {
    Request* const r = requests_.find(id);
    if (!r || !r->out || attempt != r->attempts - 1) return;
    hosts_.call_off(r->attempt);
}

void Node::add_to_counter(std::uint64_t name, double amount, Time keep_for) {
    if (tallies_) tallies_->counted(amount);
    counter_.count(name, amount, keep_for);
}

void Node::start_timer(Time from_now, std::uint64_t token) {
    const Deadlines::Key key = deadlines_.after(from_now, [this, token] {
        alarms_.erase(token);
        decisions_.timer_expired(deadlines_.now(), token);
    });
    // One that is set twice stays set twice; the later one can be taken back.
    alarms_[token] = key;
}

void Node::cancel_timer(std::uint64_t token) {
    const auto found = alarms_.find(token);
    if (found == alarms_.end()) return;
    deadlines_.drop(found->second);
    alarms_.erase(found);
}

void Node::watch_host_list() {
    // Asked for by the decision module, maybe while it is being told that the last try failed.
    asio::post(io_, [this] {
        deadlines_.turn();
        discovery_.follow();
    });
}

void Node::log(LogEvent event, std::uint32_t host, const std::string& line) {
    if (peer_observer_ && (event == LogEvent::host_ejected || event == LogEvent::host_restored))
        peer_observer_->host_found(hosts_.id_of(host), event == LogEvent::host_ejected);
    switch (event) {
        case LogEvent::breaker_open: return log_.tell(Event::breaker_open, line);
        case LogEvent::breaker_closed: return log_.tell(Event::breaker_closed, line);
        case LogEvent::host_ejected: return log_.tell(Event::host_shut, line, {{"host", host}});
        case LogEvent::host_restored: return log_.tell(Event::host_back, line, {{"host", host}});
    }
}

void Node::report_decisions(const DecisionCounts& often) {
    if (tallies_) tallies_->report_decisions(often);
    if (const std::string line = decided_line(often); !line.empty()) log_.tell(Event::decided, line);
}

void Node::publish_total(std::uint64_t name, double total) {
    if (peer_observer_) peer_observer_->publish_total(name, total);
}

void Node::answer(Handle id, int status, std::string_view fields, std::string_view body) {
    Request* const r = requests_.find(id);
    if (!r || !r->client) return;
    clients_.answer(std::exchange(r->client, 0), status, fields, body);
    forget_if_over(id);
}

// The decision module may name a request for as long as an attempt is out; a later mention finds
// nothing.
void Node::forget_if_over(Handle id) {
    const Request* const r = requests_.find(id);
    if (!r || r->client || r->out) return;
    open_.erase(r->id);
    requests_.remove(id);
}

// ---- what has happened ----

Handle Node::request_received(Handle client, ReceivedRequest&& received) {
    const Handle id = requests_.add(client, received.id, std::move(received.head), std::move(received.body));
    if (!id) return 0;
    open_.insert(std::move(received.id));
    if (tallies_) {
        tallies_->request_received(received.units);
        Request& r = *requests_.find(id);
        r.route_class = received.route_class, r.units = received.units, r.since = deadlines_.now();
    }
    decisions_.request_received(deadlines_.now(), id, received.route_class, received.plan, received.tenant,
                                received.units, received.gateways, received.patience);
    return id;
}

void Node::client_gone(Handle id) {
    Request* const r = requests_.find(id);
    if (!r || !r->client) return;
    r->client = 0;
    if (tallies_) tallies_->client_gone();
    decisions_.client_disconnected(deadlines_.now(), id);
    forget_if_over(id);
}

void Node::attempt_over(Handle id, std::uint32_t host, AttemptOutcome outcome, Time took,
                        const Answer& answer) {
    Request* const r = requests_.find(id);
    if (!r) return;
    r->out = false;
    r->attempt = 0;
    const int attempt = r->attempts - 1;
    if (outcome == AttemptOutcome::ok && r->client) {
        if (tallies_) tallies_->served(r->route_class, deadlines_.now() - r->since);
        clients_.answer(std::exchange(r->client, 0), 200, answer.fields, answer.body);
    }
    const bool settled = r->client == 0;
    if (peer_observer_) peer_observer_->host_ended(hosts_.id_of(host), outcome, took);
    decisions_.attempt_ended(deadlines_.now(), id, attempt, host, outcome, took, settled, 0);
    forget_if_over(id);
}

void Node::counted(std::uint64_t name, AttemptOutcome outcome, double total, Time took) {
    decisions_.counter_replied(deadlines_.now(), name, outcome, total, took);
}

void Node::list_told(const Listing& listing) {
    const Time now = deadlines_.now();
    decisions_.list_begins(now, listing.whole);
    for (const Entry& entry : listing.entries) {
        const std::uint32_t host = hosts_.listed(entry);
        if (host) decisions_.host_listed(now, host, entry.state, entry.up_since, entry.zone, entry.cell);
    }
    if (listing.whole) hosts_.keep_only(listing.entries);
    decisions_.list_ends(now);
    if (peer_observer_) peer_observer_->list_told(listing);
}

void Node::list_failed() { decisions_.list_failed(deadlines_.now()); }

void Node::host_reported(const std::string& host, const HostReport& said) {
    if (const std::uint32_t number = hosts_.number_of(host))
        decisions_.host_reported(deadlines_.now(), number, said);
}

}  // namespace dewweir::net
