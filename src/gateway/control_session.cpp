#include "gateway/control_session.h"

#include <algorithm>
#include <functional>

#include "distribution/intervals.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {

using logging::Event;
using logging::Level;

// Of those that may be lost at once, and one more that was lost just before.
distribution::SearchIntervals search_intervals(const settings::Settings& settings) {
    const unsigned silent = settings.invariants.fault_budget.machines + 1;
    return distribution::search_intervals(settings.invariants.bounds.config_apply, silent);
}

namespace {

ListLease::Limits lease_limits(const settings::Settings& settings) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    const distribution::SearchIntervals search = search_intervals(settings);
    return {runtime::tenths(bounds.drain), search.max_propagation - search.max_staleness,
            runtime::tenths(bounds.contact)};
}

}  // namespace

// Gateways begin with different control planes, so that none has them all.
ControlSession::ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                               const settings::Settings& settings, const wire::Member& self, Changed changed,
                               LeaseChanged lease_changed, LinkPrompt link_prompt)
    : loop_(loop),
      sessions_(sessions),
      internal_port_(settings.network.ephemeral_ports.first),
      seeds_(settings.network.seed_nodes),
      self_(self),
      changed_(std::move(changed)),
      search_(search_intervals(settings), std::hash<std::string>{}(self.node)),
      lease_changed_(std::move(lease_changed)),
      link_prompt_(std::move(link_prompt)),
      lease_(lease_limits(settings)),
      heartbeat_(loop),
      review_(loop) {}

void ControlSession::start() {
    heartbeat_.start(distribution::heartbeat_interval, [this] { beat(); });
    review();
}

void ControlSession::set_ready(bool ready) {
    if (self_.ready == ready) return;
    self_.ready = ready;
    if (search_.current()) sessions_.send(search_.current(), wire::MemberChanged{self_});
}

void ControlSession::set_seeds(const std::vector<settings::Endpoint>& seeds) { seeds_ = seeds; }

// Control planes that are members, then the seeds: internal addresses, each once.
std::vector<std::string> ControlSession::candidates() const {
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
    const ControlPlaneSearch::Step step = search_.review(loop_.now(), candidates());
    for (const SearchSession session : step.close) sessions_.close(session);
    if (step.adopt) adopt(step.adopt);
    if (step.open) attempt(*step.open);
    review_later();
}

void ControlSession::review_later() {
    const runtime::Time wait = search_.next_review(loop_.now()) - loop_.now();
    review_.start(std::max(wait, runtime::tenths_per_millisecond), [this] { review(); });
}

void ControlSession::attempt(const std::string& address) {
    const auto endpoint = transport::parse_tcp_endpoint(address);
    if (!endpoint) return;
    const transport::SessionId session = sessions_.open(*endpoint, *this, distribution::connect_timeout);
    if (session) search_.opened(session, address, loop_.now());
}

void ControlSession::adopt(transport::SessionId session) {
    sessions_.send(session, wire::Hello{wire::protocol_version, self_});
    lease_.asked_another();
    send_stamp();
    logging::log(Level::info, Event::session_opened, {});
}

void ControlSession::session_opened(transport::SessionId session) { sessions_.send(session, wire::Probe{}); }

void ControlSession::session_received(transport::SessionId session, wire::Message&& message) {
    if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message)) {
        std::optional<runtime::Time> staleness;
        if (heartbeat->staleness_ms != wire::never_in_step) {
            staleness = static_cast<runtime::Time>(heartbeat->staleness_ms) * runtime::tenths_per_millisecond;
        }
        search_.told(session, staleness, loop_.now());
        if (session == search_.current()) echoed(*heartbeat);
        return review();
    }
    if (session != search_.current()) return;
    const distribution::Changes changes = view_.apply(message);
    if (changes.any()) changed_(changes);
}

void ControlSession::session_closed(transport::SessionId session) {
    const bool was_current = session == search_.current();
    search_.closed(session);
    if (!was_current) return;
    logging::log(Level::warning, Event::session_lost, {});
    // Not at once: this is called while sessions are being gone through.
    review_.start(runtime::tenths_per_millisecond, [this] { review(); });
}

void ControlSession::echoed(const wire::Heartbeat& heartbeat) {
    if (heartbeat.echo == 0 || heartbeat.list_age_ms == wire::unknown_list_age_ms) return;
    const runtime::Time list_age = heartbeat.list_age_ms * runtime::tenths_per_millisecond;
    lease_.echoed(static_cast<runtime::Time>(heartbeat.echo), list_age, loop_.now());
    search_.set_doubt(false);
    tell_lease();
}

void ControlSession::tell_lease() {
    const bool held = lease_.holds(loop_.now());
    if (held == lease_held_ && lease_.valid_until() == lease_until_) return;
    lease_held_ = held;
    lease_until_ = lease_.valid_until();
    lease_changed_(lease_);
}

void ControlSession::beat() {
    heartbeat_.start(distribution::heartbeat_interval, [this] { beat(); });
    lease_.interval_passed(link_prompt_(lease_.overdue_from()));
    tell_lease();
    if (lease_.in_doubt() != search_.in_doubt()) {
        search_.set_doubt(lease_.in_doubt());
        review();
    }
    send_stamp();
}

void ControlSession::send_stamp() {
    if (!search_.current()) return;
    wire::Heartbeat heartbeat;
    heartbeat.configuration = view_.configuration().version;
    heartbeat.staleness_ms = 0;
    heartbeat.stamp = static_cast<std::uint64_t>(loop_.now());
    sessions_.send(search_.current(), heartbeat);
}

}  // namespace dewweir::gateway
