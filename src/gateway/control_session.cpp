#include "gateway/control_session.h"

#include <algorithm>
#include <functional>

#include "distribution/intervals.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {

using logging::Event;
using logging::Level;

// Unresponsive control planes: those that may fail at once, and one more that failed shortly before.
distribution::SearchIntervals search_intervals(const settings::Settings& settings) {
    const unsigned unresponsive = settings.invariants.fault_budget.machines + 1;
    return distribution::search_intervals(settings.invariants.bounds.config_apply, unresponsive);
}

namespace {

ListLease::Limits lease_limits(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    const distribution::SearchIntervals search = search_intervals(settings);
    return {runtime::tenths(bounds.drain), search.max_propagation - search.max_staleness,
            runtime::tenths(bounds.contact)};
}

}  // namespace

// The hash of the node name selects the first control plane, so that the gateways spread over them.
ControlSession::ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                               const settings::Settings& settings, const wire::Member& self,
                               ViewChangedHandler on_view_changed, LeaseChangedHandler on_lease_changed,
                               PeerAnsweredSince peer_answered_since)
    : loop_(loop),
      sessions_(sessions),
      internal_port_(settings.network.ephemeral_ports.first),
      max_staleness_(search_intervals(settings).max_staleness),
      seeds_(settings.network.seed_nodes),
      self_(self),
      on_view_changed_(std::move(on_view_changed)),
      search_(search_intervals(settings), std::hash<std::string>{}(self.node)),
      on_lease_changed_(std::move(on_lease_changed)),
      peer_answered_since_(std::move(peer_answered_since)),
      lease_(lease_limits(settings)),
      heartbeat_timer_(loop),
      review_timer_(loop) {}

void ControlSession::start() {
    heartbeat_timer_.start(distribution::heartbeat_interval, [this] { heartbeat_tick(); });
    review();
}

void ControlSession::set_ready(bool ready) {
    if (self_.ready == ready) return;
    self_.ready = ready;
    if (search_.current()) sessions_.send(search_.current(), wire::MemberChanged{self_});
}

void ControlSession::set_seeds(const std::vector<settings::Endpoint>& seeds) { seeds_ = seeds; }

// Internal addresses of the control planes that are members, then of the seeds, without duplicates.
std::vector<std::string> ControlSession::control_plane_addresses() const {
    std::vector<std::string> addresses;
    for (const auto& [node, member] : view_.members()) {
        if (member.role == wire::Role::control_plane) addresses.push_back(member.internal);
    }
    for (const settings::Endpoint& seed : seeds_)
        addresses.push_back(settings::to_string({seed.ip, internal_port_}));
    std::vector<std::string> unique;
    for (const std::string& address : addresses) {
        if (std::find(unique.begin(), unique.end(), address) == unique.end()) unique.push_back(address);
    }
    return unique;
}

void ControlSession::review() {
    const ControlPlaneSearch::Actions actions = search_.review(loop_.now(), control_plane_addresses());
    for (const SearchSession session : actions.close) sessions_.close(session);
    if (actions.adopt) adopt(actions.adopt);
    if (actions.open) open_session(*actions.open);
    schedule_review();
}

void ControlSession::schedule_review() {
    const runtime::Time wait = search_.next_review(loop_.now()) - loop_.now();
    review_timer_.start(std::max(wait, runtime::tenths_per_millisecond), [this] { review(); });
}

void ControlSession::open_session(const std::string& address) {
    const auto endpoint = transport::parse_tcp_endpoint(address);
    if (!endpoint) return;
    const transport::SessionId session = sessions_.open(*endpoint, *this, search_.attempt_timeout());
    if (session) search_.add_session(session, address, loop_.now());
}

void ControlSession::adopt(transport::SessionId session) {
    sessions_.send(session, wire::Hello{wire::protocol_version, self_});
    lease_.control_plane_switched();
    send_heartbeat();
    logging::log(Level::info, Event::session_opened, {});
}

void ControlSession::session_opened(transport::SessionId session) { send_probe(session); }

void ControlSession::send_probe(transport::SessionId session) {
    wire::Probe probe;
    probe.stamp = static_cast<std::uint64_t>(loop_.now());
    sessions_.send(session, probe);
}

void ControlSession::heartbeat_received(transport::SessionId session, const wire::Heartbeat& heartbeat) {
    std::optional<runtime::Time> staleness;
    if (heartbeat.staleness_ms != wire::never_in_step) {
        staleness = static_cast<runtime::Time>(heartbeat.staleness_ms) * runtime::tenths_per_millisecond;
    }
    std::optional<runtime::Time> asked_at;
    if (heartbeat.echo != 0) asked_at = static_cast<runtime::Time>(heartbeat.echo);
    search_.report_staleness(session, staleness, asked_at);
    const bool has_list = heartbeat.list_age_ms != wire::unknown_list_age_ms;
    if (staleness && *staleness < max_staleness_ && has_list) lease_.control_plane_heard();
    if (!asked_at && search_.should_probe_again(session, loop_.now())) send_probe(session);
    if (session == search_.current()) heartbeat_echoed(heartbeat);
}

void ControlSession::session_received(transport::SessionId session, wire::Message&& message) {
    if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message)) {
        heartbeat_received(session, *heartbeat);
        return review();
    }
    if (session != search_.current()) return;
    const distribution::Changes changes = view_.apply(message);
    if (changes.any()) on_view_changed_(changes);
}

void ControlSession::session_closed(transport::SessionId session) {
    const bool was_current = session == search_.current();
    search_.remove_session(session, loop_.now());
    if (!was_current) return;
    logging::log(Level::warning, Event::session_lost, {});
    // Deferred: the session table is being iterated while this is called.
    review_timer_.start(runtime::tenths_per_millisecond, [this] { review(); });
}

void ControlSession::heartbeat_echoed(const wire::Heartbeat& heartbeat) {
    if (heartbeat.echo == 0 || heartbeat.list_age_ms == wire::unknown_list_age_ms) return;
    const runtime::Time list_age = heartbeat.list_age_ms * runtime::tenths_per_millisecond;
    lease_.echo_received(static_cast<runtime::Time>(heartbeat.echo), list_age, loop_.now());
    search_.set_suspected(false);
    notify_lease();
}

void ControlSession::notify_lease() {
    const bool held = lease_.holds(loop_.now());
    if (held == notified_lease_held_ && lease_.valid_until() == notified_lease_end_) return;
    notified_lease_held_ = held;
    notified_lease_end_ = lease_.valid_until();
    on_lease_changed_(lease_);
}

void ControlSession::heartbeat_tick() {
    heartbeat_timer_.start(distribution::heartbeat_interval, [this] { heartbeat_tick(); });
    lease_.interval_passed(peer_answered_since_(lease_.echo_overdue_since()));
    notify_lease();
    if (lease_.suspected() != search_.suspected()) {
        search_.set_suspected(lease_.suspected());
        review();
    }
    send_heartbeat();
}

void ControlSession::send_heartbeat() {
    if (!search_.current()) return;
    wire::Heartbeat heartbeat;
    heartbeat.configuration = view_.configuration().version;
    heartbeat.staleness_ms = 0;
    heartbeat.stamp = static_cast<std::uint64_t>(loop_.now());
    sessions_.send(search_.current(), heartbeat);
}

}  // namespace dewweir::gateway
