#include "gateway/control_session.h"

#include <algorithm>
#include <functional>

#include "distribution/intervals.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {

using logging::Event;
using logging::Level;

ControlSession::ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                               const settings::Settings& settings, const wire::Member& self, Changed changed)
    : loop_(loop),
      sessions_(sessions),
      internal_port_(settings.network.ephemeral_ports.first),
      seeds_(settings.network.seed_nodes),
      self_(self),
      changed_(std::move(changed)),
      heartbeat_(loop),
      reconnect_(loop) {}

void ControlSession::start() {
    // Gateways begin with different control planes, so that none has them all.
    next_candidate_ = std::hash<std::string>{}(self_.node);
    heartbeat_.start(distribution::heartbeat_interval, [this] { beat(); });
    connect();
}

void ControlSession::set_ready(bool ready) {
    if (self_.ready == ready) return;
    self_.ready = ready;
    if (open_) sessions_.send(session_, wire::MemberChanged{self_});
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

void ControlSession::connect() {
    if (session_) return;
    const std::vector<std::string> addresses = candidates();
    if (addresses.empty()) return connect_later();
    const auto address = transport::parse_tcp_endpoint(addresses[next_candidate_++ % addresses.size()]);
    if (!address) return connect_later();
    session_ = sessions_.open(*address, *this, distribution::connect_limit);
    if (!session_) connect_later();
}

void ControlSession::connect_later() {
    reconnect_.start(distribution::reconnect_pause, [this] { connect(); });
}

void ControlSession::session_opened(transport::SessionId session) {
    if (session != session_) return;
    open_ = true;
    heard_at_ = loop_.now();
    sessions_.send(session_, wire::Hello{wire::protocol_version, self_});
    logging::log(Level::info, Event::session_opened, {});
}

void ControlSession::session_received(transport::SessionId session, wire::Message&& message) {
    if (session != session_) return;
    heard_at_ = loop_.now();
    if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message))
        return leave_if_stale(*heartbeat);
    const distribution::Changes changes = view_.apply(message);
    if (changes.any()) changed_(changes);
}

// The control plane itself lacks news: another may have it. Where all lack it, each is tried in turn.
void ControlSession::leave_if_stale(const wire::Heartbeat& heartbeat) {
    const auto silence =
        static_cast<runtime::Time>(heartbeat.leader_contact_ms) * runtime::tenths_per_millisecond;
    if (silence < distribution::leader_silence_limit) return;
    sessions_.close(session_);
    session_closed(session_);
}

void ControlSession::session_closed(transport::SessionId session) {
    if (session != session_) return;
    session_ = 0;
    if (open_) logging::log(Level::warning, Event::session_lost, {});
    open_ = false;
    connect_later();
}

void ControlSession::beat() {
    heartbeat_.start(distribution::heartbeat_interval, [this] { beat(); });
    if (!open_) return;
    if (loop_.now() - heard_at_ > distribution::silence_limit) {
        sessions_.close(session_);
        session_closed(session_);
        return;
    }
    sessions_.send(session_, wire::Heartbeat{view_.configuration().version, 0, {}});
}

}  // namespace dewweir::gateway
