#include "control_plane/fleet_server.h"

#include <algorithm>

#include "distribution/intervals.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {

using distribution::heartbeat_interval;
using logging::Event;
using logging::Level;

namespace {

// Cap on the reported age of the list while the platform cannot be read or the control planes are out of
// sync: nobody can know a newer list then, so the age says nothing about how long updates take to arrive.
constexpr runtime::Time max_list_age_without_source = 1500 * runtime::tenths_per_millisecond;
// Bytes that may wait in a session. A peer that receives more slowly than changes come is sent the whole view
// once they are through, and what changes meanwhile is in it.
constexpr std::size_t max_backlog_bytes = 256u << 10;

}  // namespace

FleetServer::FleetServer(runtime::EventLoop& loop, transport::Sessions& sessions, const wire::Member& self,
                         const ReplicatedLog& log, runtime::Time max_staleness)
    : loop_(loop),
      sessions_(sessions),
      self_(self),
      log_(log),
      max_staleness_(max_staleness),
      heartbeat_(loop),
      expiry_(loop),
      publication_(loop),
      reconnect_(loop) {
    heartbeat_.start(heartbeat_interval, [this] { heartbeat_tick(); });
}

std::optional<std::string> FleetServer::listen(const asio::ip::tcp::endpoint& address) {
    return sessions_.listen(address, *this);
}

std::optional<std::string> FleetServer::leader_control() const {
    if (log_.is_leader()) return self_.control;
    const std::optional<std::string> address = log_.leader_address();
    if (!address) return std::nullopt;
    // All control planes serve the operator API on the same port.
    const auto leader = settings::parse_endpoint(*address);
    const auto own = settings::parse_endpoint(self_.control);
    if (!leader || !own) return std::nullopt;
    return settings::to_string({leader->ip, own->port});
}

// ---- publishing ----

void FleetServer::publish_state() {
    const control::StateMachine& state = log_.state();
    if (view_.apply(state.configuration()).any()) broadcast(state.configuration());
    const wire::EvacuationsUpdate evacuations = state.evacuations();
    const std::uint64_t before = view_.evacuations().index;
    view_.apply(evacuations);
    if (view_.evacuations().index != before) broadcast(evacuations);
}

void FleetServer::instance_list_read(const control::InstanceReading& reading) {
    if (!log_.is_leader()) return;
    const bool first = !list_as_of_;
    list_as_of_ = reading.started_at;
    last_list_read_succeeded_ = true;
    publish_instances(reading);
    if (first) echo_stamps();
}

void FleetServer::publish_instances(const control::InstanceReading& reading) {
    // A leader's first update replaces the whole list: others may hold instances that this process never
    // knew.
    const bool full_list = view_.instances_revision().term != log_.term();
    wire::InstancesUpdate update = distribution::instances_difference(
        full_list ? control::Instances() : view_.instances(), reading.instances);
    update.whole = full_list;
    if (!full_list && update.changed.empty() && update.gone.empty()) return;
    update.revision = next_revision();
    view_.apply(update);
    broadcast(update);
    logging::log(Level::info, Event::instance_list_published,
                 {{"revision", static_cast<std::int64_t>(update.revision.number)},
                  {"changed", static_cast<std::int64_t>(update.changed.size())},
                  {"gone", static_cast<std::int64_t>(update.gone.size())},
                  {"pages", static_cast<std::int64_t>(reading.pages)},
                  {"reading_ms", static_cast<std::int64_t>((loop_.now() - reading.started_at) /
                                                           runtime::tenths_per_millisecond)}});
}

wire::Revision FleetServer::next_revision() { return {log_.term(), ++last_revision_number_}; }

void FleetServer::broadcast(const wire::Message& message) {
    const std::string frame = wire::frame(message);
    for (auto& [session, peer] : peers_) {
        if (!peer.said_hello || peer.awaits_view) continue;
        if (is_backlogged(session)) {
            peer.awaits_view = true;
        } else {
            sessions_.send_frame(session, frame);
        }
    }
}

bool FleetServer::is_backlogged(transport::SessionId session) {
    return sessions_.unsent_bytes(session) > max_backlog_bytes;
}

// ---- staleness of this process's view ----

std::optional<runtime::Time> FleetServer::staleness() const {
    const std::optional<runtime::Time> log_staleness = log_.staleness();
    if (!log_staleness || log_.is_leader()) return log_staleness;
    // Members and instances arrive only over the session to the leader, which can stall while the log
    // advances.
    return std::max(*log_staleness, loop_.now() - leader_synced_at_ - heartbeat_interval);
}

bool FleetServer::in_sync() const {
    const std::optional<runtime::Time> age = staleness();
    return age && *age < max_staleness_;
}

// Peers receive the view only while it is known to be current.
void FleetServer::send_pending_views() {
    if (!in_sync()) return;
    for (auto& [session, peer] : peers_) {
        if (!peer.awaits_view || is_backlogged(session)) continue;
        peer.awaits_view = false;
        for (const wire::Message& message : view_.snapshot()) sessions_.send(session, message);
        echo_stamp(session, peer);
    }
}

// ---- members ----

std::vector<wire::Member> FleetServer::connected_members() const {
    std::vector<wire::Member> members{self_};
    for (const auto& [session, peer] : peers_) {
        if (peer.said_hello) members.push_back(peer.member);
    }
    return members;
}

void FleetServer::members_changed() {
    if (log_.is_leader()) {
        members_.report(loop_.steady_now(), self_.node, connected_members());
        publish_members();
    } else {
        report_members_to_leader();
    }
}

void FleetServer::report_members_to_leader() {
    if (leader_session_) sessions_.send(leader_session_, wire::MembersReport{connected_members()});
}

// Publishes the first change at once and collects those that follow shortly after: each update names all
// members.
void FleetServer::publish_members() {
    if (publication_.pending()) return;
    const runtime::Time passed = loop_.now() - members_published_at_;
    if (passed >= distribution::min_publication_interval) return publish_members_now();
    publication_.start(distribution::min_publication_interval - passed, [this] {
        if (log_.is_leader()) publish_members_now();
    });
}

void FleetServer::publish_members_now() {
    members_published_at_ = loop_.now();
    const wire::MembersUpdate update{next_revision(), members_.members(),
                                     members_.complete(loop_.steady_now())};
    if (view_.apply(update).members) broadcast(update);
    schedule_member_expiry();
}

void FleetServer::schedule_member_expiry() {
    const auto next = members_.next_expiry();
    if (!next) return expiry_.cancel();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - loop_.steady_now());
    expiry_.start(runtime::tenths(std::max(wait, std::chrono::milliseconds(1))), [this] {
        if (!log_.is_leader()) return;
        members_.expire(loop_.steady_now());
        publish_members();
    });
}

// ---- leadership ----

void FleetServer::leadership_changed() {
    if (log_.is_leader() && !was_leader_) {
        last_revision_number_ = 0;
        last_list_read_succeeded_ = false;
        std::vector<wire::Member> known;
        for (const auto& [node, member] : view_.members()) known.push_back(member);
        members_ = control::MemberTable();
        members_.inherit(loop_.steady_now(), known, view_.members_complete());
        members_changed();
    }
    was_leader_ = log_.is_leader();
    connect_to_leader();
}

void FleetServer::connect_to_leader() {
    const std::optional<std::string> leader = log_.is_leader() ? std::nullopt : log_.leader_address();
    if (leader_session_ && leader == leader_address_) return;
    if (leader_session_) { sessions_.close(std::exchange(leader_session_, 0)); }
    leader_address_.clear();
    reconnect_.cancel();
    if (!leader) return;
    const auto address = transport::parse_tcp_endpoint(*leader);
    if (!address) return;
    leader_address_ = *leader;
    leader_session_ = sessions_.open(*address, *this, distribution::connect_timeout);
}

void FleetServer::session_opened(transport::SessionId session) {
    if (session != leader_session_) return;
    sessions_.send(session, wire::Hello{wire::protocol_version, self_});
    peers_[session] = Peer{.last_contact = loop_.now()};
    send_stamp_to_leader();
    report_members_to_leader();
}

// ---- sessions ----

void FleetServer::session_received(transport::SessionId session, wire::Message&& message) {
    Peer& peer = peers_[session];
    peer.last_contact = loop_.now();
    if (session == leader_session_) return leader_message_received(message);
    if (const auto* const consensus = std::get_if<wire::ConsensusMessage>(&message)) {
        if (on_consensus_message_) on_consensus_message_(*consensus);
        return;
    }
    if (const auto* const probe = std::get_if<wire::Probe>(&message)) return answer_probe(session, *probe);
    if (const auto* const request = std::get_if<wire::Heartbeat>(&message)) {
        peer.stamp = request->stamp;
        return echo_stamp(session, peer);
    }
    if (const auto* const hello = std::get_if<wire::Hello>(&message))
        return hello_received(session, peer, *hello);
    if (const auto* const changed = std::get_if<wire::MemberChanged>(&message)) {
        return member_changed(peer, changed->self);
    }
    if (const auto* const report = std::get_if<wire::MembersReport>(&message)) {
        if (!log_.is_leader()) return;
        members_.report(loop_.steady_now(), peer.member.node, report->members);
        publish_members();
    }
}

// The echo follows all updates already sent to the peer; before the peer has received the view it would prove
// nothing. While no instance list is known the stamp is kept and echoed again once there is one.
void FleetServer::echo_stamp(transport::SessionId session, Peer& peer) {
    if (peer.stamp == 0 || !peer.said_hello || peer.awaits_view) return;
    wire::Heartbeat answer = heartbeat();
    answer.echo = peer.stamp;
    if (list_as_of_) peer.stamp = 0;
    sessions_.send(session, answer);
}

void FleetServer::echo_stamps() {
    for (auto& [session, peer] : peers_) echo_stamp(session, peer);
}

std::optional<runtime::Time> FleetServer::list_age() const {
    if (!list_as_of_) return std::nullopt;
    const runtime::Time age = loop_.now() - *list_as_of_;
    const bool source_is_current = log_.is_leader() ? last_list_read_succeeded_ : in_sync();
    return source_is_current ? age : std::min(age, max_list_age_without_source);
}

// Times count from the stamp: a message without an echo may have been under way for any time.
void FleetServer::echo_received(const wire::Heartbeat& heartbeat) {
    if (heartbeat.echo == 0) return;
    leader_synced_at_ = std::max(leader_synced_at_, static_cast<runtime::Time>(heartbeat.echo));
    if (heartbeat.list_age_ms == wire::unknown_list_age_ms) return;
    const bool first = !list_as_of_;
    const runtime::Time age = heartbeat.list_age_ms * runtime::tenths_per_millisecond;
    const runtime::Time as_of = static_cast<runtime::Time>(heartbeat.echo) - age;
    list_as_of_ = std::max(list_as_of_.value_or(as_of), as_of);
    if (first) echo_stamps();
}

void FleetServer::send_stamp_to_leader() {
    if (!peers_.contains(leader_session_)) return;  // no session, or not open yet
    wire::Heartbeat request = heartbeat();
    request.stamp = static_cast<std::uint64_t>(loop_.now());
    sessions_.send(leader_session_, request);
}

void FleetServer::leader_message_received(const wire::Message& message) {
    if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message)) echo_received(*heartbeat);
    const std::uint64_t before = view_.evacuations().index;
    const distribution::Changes changes = view_.apply(message);
    // Evacuations are relayed even if only their log index is newer.
    if (changes.any() || view_.evacuations().index != before) broadcast(message);
}

void FleetServer::hello_received(transport::SessionId session, Peer& peer, const wire::Hello& hello) {
    if (hello.protocol != wire::protocol_version) {
        sessions_.close(session);
        peers_.erase(session);
        return;
    }
    peer.said_hello = true;
    peer.member = hello.self;
    logging::log(Level::info, Event::member_joined, {{"member", std::string_view(hello.self.node)}});
    peer.awaits_view = true;
    send_heartbeat(session);
    send_pending_views();
    members_changed();
}

void FleetServer::member_changed(Peer& peer, const wire::Member& member) {
    if (!peer.said_hello) return;
    peer.member = member;
    members_changed();
}

void FleetServer::session_closed(transport::SessionId session) {
    const auto found = peers_.find(session);
    if (session == leader_session_) {
        leader_session_ = 0;
        if (found != peers_.end()) peers_.erase(found);
        reconnect_.start(distribution::reconnect_delay, [this] { connect_to_leader(); });
        return;
    }
    if (found == peers_.end()) return;
    const Peer peer = found->second;
    peers_.erase(found);
    if (!peer.said_hello) return;
    logging::log(Level::info, Event::member_left, {{"member", std::string_view(peer.member.node)}});
    if (log_.is_leader() && peer.member.role == wire::Role::control_plane) {
        members_.reporter_lost(loop_.steady_now(), peer.member.node);
    }
    members_changed();
}

void FleetServer::heartbeat_tick() {
    heartbeat_.start(heartbeat_interval, [this] { heartbeat_tick(); });
    close_unresponsive_sessions();
    send_pending_views();
    const std::string frame = wire::frame(heartbeat());
    for (const auto& [session, peer] : peers_) {
        if (session != leader_session_) sessions_.send_frame(session, frame);
    }
    send_stamp_to_leader();
}

wire::Heartbeat FleetServer::heartbeat() const {
    wire::Heartbeat heartbeat;
    heartbeat.configuration = view_.configuration().version;
    const std::optional<runtime::Time> age = staleness();
    if (age)
        heartbeat.staleness_ms =
            static_cast<std::uint64_t>(std::max<runtime::Time>(0, *age) / runtime::tenths_per_millisecond);
    heartbeat.leader_control = leader_control().value_or("");
    if (const std::optional<runtime::Time> age_of_list = list_age()) {
        heartbeat.list_age_ms = static_cast<std::uint32_t>(*age_of_list / runtime::tenths_per_millisecond);
    }
    return heartbeat;
}

void FleetServer::answer_probe(transport::SessionId session, const wire::Probe& probe) {
    wire::Heartbeat answer = heartbeat();
    answer.echo = probe.stamp;
    sessions_.send(session, answer);
}

void FleetServer::send_heartbeat(transport::SessionId session) { sessions_.send(session, heartbeat()); }

void FleetServer::close_unresponsive_sessions() {
    std::vector<transport::SessionId> unresponsive;
    for (const auto& [session, peer] : peers_) {
        if (loop_.now() - peer.last_contact > distribution::unresponsive_timeout)
            unresponsive.push_back(session);
    }
    for (const transport::SessionId session : unresponsive) {
        sessions_.close(session);
        session_closed(session);
    }
}

}  // namespace dewweir::control_plane
