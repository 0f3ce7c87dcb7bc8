#include "node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdio>

#include "decided.h"

namespace dewweir::net {

Node::Node(asio::io_context& io, Log& log, const Configuration& configuration,
           ActivityObserver* activity_observer)
    : io_(io),
      log_(log),
      activity_observer_(activity_observer),
      // Timers are as precise as in the simulator, which checks them once per step.
      deadlines_(std::min<Time>(configuration.timer_step, 50)),
      // 14 descriptors are reserved for the standard streams, the listener, signals and the event loop, with
      // a margin.
      connections_(io, deadlines_, configuration.max_sockets - 14),
      context_{io, deadlines_, connections_, log, configuration},
      hosts_(context_, *this),
      counter_(context_, *this),
      discovery_(context_, *this),
      decisions_(*this, configuration.settings, configuration.seed, deadlines_.now()),
      clients_(context_, *this) {
    if (!configuration.initial_hosts.entries.empty()) host_list_received(configuration.initial_hosts);
    // With watch_on_request the decision module starts the watch itself.
    if (!configuration.watch_on_request) discovery_.watch();
    if (activity_observer_) schedule_activity_report();
}

// Reports at multiples of the interval since 1970, so that intervals of different gateways can be compared.
void Node::schedule_activity_report() {
    const Time every = activity_observer_->interval();
    deadlines_.after(every - deadlines_.now() % every, [this] {
        activity_observer_->report(log_, deadlines_.now());
        schedule_activity_report();
    });
}

void Node::set_peer_observer(PeerObserver* peer_observer) {
    peer_observer_ = peer_observer;
    if (peer_observer_)
        peer_observer_->host_list_received(
            context_.configuration_.initial_hosts);  // later lists are increments to this one
}

void Node::run() {
    while (!io_.stopped()) {
        deadlines_.run_due();
        // Sockets are polled between any two rounds of deadlines, even when the next deadline is already due.
        const auto next = deadlines_.next();
        if (next > std::chrono::steady_clock::now()) io_.run_one_until(next);
        else io_.poll_one();
    }
}

void Node::reload(const Configuration& fresh) {
    deadlines_.update_now();
    const Configuration& configuration = context_.configuration_;
    const std::pair<const char*, bool> restart_only[] = {
        {"name", fresh.name != configuration.name},
        {"listen", fresh.listen != configuration.listen},
        {"limits.sockets", fresh.max_sockets != configuration.max_sockets},
        {"settings", fresh.settings != configuration.settings}};
    for (const auto& [key, differs] : restart_only)
        if (differs)
            log_.record(Event::configuration_restart,
                        std::string("configuration: ") + key + ": needs a restart", {{"key", key}});
    discovery_.set_address(fresh.discovery);
    if (fresh.counter) counter_.set_address(*fresh.counter);
    log_.record(Event::configuration_read, "configuration: read again");
}

// ---- actions requested by the decision module ----

void Node::start_attempt(std::uint32_t id, std::uint32_t host, Time give_up_after) {
    Request* const r = requests_.find(id);
    if (!r || !r->client || r->in_flight) {
        asio::post(io_, [this, id, host] {
            deadlines_.update_now();
            decisions_.attempt_ended(deadlines_.now(), id, 0, host, AttemptOutcome::not_sent, 0, true, 0);
        });
        return;
    }
    ++r->attempts;
    r->in_flight = true;
    if (activity_observer_) activity_observer_->attempt_started(r->attempts == 1, r->units);
    if (peer_observer_) peer_observer_->attempt_started(hosts_.id_of(host));
    r->attempt_handle = hosts_.start_attempt(id, host, r->head, r->body, give_up_after);
}

void Node::refuse(std::uint32_t id, Time retry_after) {
    if (activity_observer_) activity_observer_->refused();
    char advice[48] = "";
    if (retry_after > 0)
        std::snprintf(advice, sizeof advice, "Retry-After: %.4f\r\n",
                      static_cast<double>(retry_after) / 10000);
    answer(id, 503, advice, "bounced: trying again is harmless\n");
}

void Node::fail(std::uint32_t id) {
    if (activity_observer_) activity_observer_->failed();
    answer(id, 502, {}, "written off\n");
}

void Node::cancel(std::uint32_t id, int attempt) {
    Request* const r = requests_.find(id);
    if (!r || !r->in_flight || attempt != r->attempts - 1) return;
    hosts_.cancel(r->attempt_handle);
}

void Node::add_to_counter(std::uint64_t name, double amount, Time keep_for) {
    if (activity_observer_) activity_observer_->counter_called(amount);
    counter_.add(name, amount, keep_for);
}

void Node::start_timer(Time from_now, std::uint64_t token) {
    const Deadlines::Key key = deadlines_.after(from_now, [this, token] {
        timers_.erase(token);
        decisions_.timer_expired(deadlines_.now(), token);
    });
    // A token that is set twice fires twice; only the later timer can be cancelled.
    timers_[token] = key;
}

void Node::cancel_timer(std::uint64_t token) {
    const auto found = timers_.find(token);
    if (found == timers_.end()) return;
    deadlines_.cancel(found->second);
    timers_.erase(found);
}

void Node::watch_host_list() {
    // Deferred: the decision module may call this while it handles the failure of the previous watch.
    asio::post(io_, [this] {
        deadlines_.update_now();
        discovery_.watch();
    });
}

void Node::log(LogEvent event, std::uint32_t host, const std::string& line) {
    if (peer_observer_ && (event == LogEvent::host_ejected || event == LogEvent::host_restored))
        peer_observer_->host_status_changed(hosts_.id_of(host), event == LogEvent::host_ejected);
    switch (event) {
        case LogEvent::breaker_open: return log_.record(Event::breaker_open, line);
        case LogEvent::breaker_closed: return log_.record(Event::breaker_closed, line);
        case LogEvent::host_ejected: return log_.record(Event::host_shut, line, {{"host", host}});
        case LogEvent::host_restored: return log_.record(Event::host_back, line, {{"host", host}});
    }
}

void Node::report_decisions(const DecisionCounts& often) {
    if (activity_observer_) activity_observer_->report_decisions(often);
    if (const std::string line = decided_line(often); !line.empty()) log_.record(Event::decided, line);
}

void Node::publish_total(std::uint64_t name, double total) {
    if (peer_observer_) peer_observer_->publish_total(name, total);
}

void Node::answer(Handle id, int status, std::string_view fields, std::string_view body) {
    Request* const r = requests_.find(id);
    if (!r || !r->client) return;
    clients_.answer(std::exchange(r->client, 0), status, fields, body);
    remove_if_done(id);
}

// The decision module may refer to a request while an attempt is in flight; later references find nothing.
void Node::remove_if_done(Handle id) {
    const Request* const r = requests_.find(id);
    if (!r || r->client || r->in_flight) return;
    open_.erase(r->id);
    requests_.remove(id);
}

// ---- events reported to the decision module ----

Handle Node::request_received(Handle client, ReceivedRequest&& received) {
    const Handle id = requests_.add(client, received.id, std::move(received.head), std::move(received.body));
    if (!id) return 0;
    open_.insert(std::move(received.id));
    if (activity_observer_) {
        activity_observer_->request_received(received.units);
        Request& r = *requests_.find(id);
        r.route_class = received.route_class;
        r.units = received.units;
        r.received_at = deadlines_.now();
    }
    decisions_.request_received(deadlines_.now(), id, received.route_class, received.quota_plan,
                                received.tenant, received.units, received.gateways, received.time_limit);
    return id;
}

void Node::client_disconnected(Handle id) {
    Request* const r = requests_.find(id);
    if (!r || !r->client) return;
    r->client = 0;
    if (activity_observer_) activity_observer_->client_disconnected();
    decisions_.client_disconnected(deadlines_.now(), id);
    remove_if_done(id);
}

void Node::attempt_ended(Handle id, std::uint32_t host, AttemptOutcome outcome, Time took,
                         const HostResponse& answer) {
    Request* const r = requests_.find(id);
    if (!r) return;
    r->in_flight = false;
    r->attempt_handle = 0;
    const int attempt = r->attempts - 1;
    if (outcome == AttemptOutcome::ok && r->client) {
        if (activity_observer_) activity_observer_->served(r->route_class, deadlines_.now() - r->received_at);
        clients_.answer(std::exchange(r->client, 0), 200, answer.fields, answer.body);
    }
    const bool client_done = r->client == 0;
    if (peer_observer_) peer_observer_->attempt_ended(hosts_.id_of(host), outcome, took);
    decisions_.attempt_ended(deadlines_.now(), id, attempt, host, outcome, took, client_done, 0);
    remove_if_done(id);
}

void Node::counter_replied(std::uint64_t name, AttemptOutcome outcome, double total, Time took) {
    decisions_.counter_replied(deadlines_.now(), name, outcome, total, took);
}

void Node::host_list_received(const HostList& listing) {
    const Time now = deadlines_.now();
    decisions_.list_begins(now, listing.complete);
    for (const HostEntry& entry : listing.entries) {
        const std::uint32_t host = hosts_.update(entry);
        if (host) decisions_.host_listed(now, host, entry.state, entry.up_since, entry.zone, entry.cell);
    }
    if (listing.complete) hosts_.remove_unlisted(listing.entries);
    decisions_.list_ends(now);
    if (peer_observer_) peer_observer_->host_list_received(listing);
}

void Node::watch_failed() { decisions_.list_failed(deadlines_.now()); }

void Node::host_reported(const std::string& host, const HostReport& said) {
    if (const std::uint32_t number = hosts_.number_of(host))
        decisions_.host_reported(deadlines_.now(), number, said);
}

}  // namespace dewweir::net
