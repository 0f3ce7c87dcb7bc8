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

// Where the platform doesn't tell its list, or the core is in trouble, nobody can know newer news: the age of
// what is known then says nothing of how long news takes.
constexpr runtime::Time longest_age_in_trouble = 1500 * runtime::tenths_per_millisecond;

}  // namespace

FleetServer::FleetServer(runtime::EventLoop& loop, transport::Sessions& sessions, const wire::Member& self,
                         const ReplicatedLog& log, runtime::Time freshness_limit)
    : loop_(loop),
      sessions_(sessions),
      self_(self),
      log_(log),
      freshness_limit_(freshness_limit),
      heartbeat_(loop),
      expiry_(loop),
      publication_(loop),
      reconnect_(loop) {
    heartbeat_.start(heartbeat_interval, [this] { beat(); });
}

std::optional<std::string> FleetServer::listen(const asio::ip::tcp::endpoint& address) {
    return sessions_.listen(address, *this);
}

std::optional<std::string> FleetServer::leader_control() const {
    if (log_.leads()) return self_.control;
    const std::optional<std::string> address = log_.leader_address();
    if (!address) return std::nullopt;
    // Every control plane takes operators' calls at the same port.
    const auto leader = settings::parse_endpoint(*address);
    const auto own = settings::parse_endpoint(self_.control);
    if (!leader || !own) return std::nullopt;
    return settings::to_string({leader->ip, own->port});
}

// ---- what this process publishes ----

void FleetServer::publish_state() {
    const control::StateMachine& state = log_.state();
    if (view_.apply(state.configuration()).any()) broadcast(state.configuration());
    const wire::EvacuationsUpdate evacuations = state.evacuations();
    const std::uint64_t before = view_.evacuations().index;
    view_.apply(evacuations);
    if (view_.evacuations().index != before) broadcast(evacuations);
}

void FleetServer::instances_read(const control::InstanceReading& reading) {
    if (!log_.leads()) return;
    const bool first = !list_as_of_;
    list_as_of_ = reading.begun_at;
    list_read_ = true;
    publish_instances(reading);
    if (first) answer_stamps();
}

void FleetServer::publish_instances(const control::InstanceReading& reading) {
    // A leader's first list is whole: others may hold what this process never knew.
    const bool whole = view_.instances_revision().term != log_.term();
    wire::InstancesUpdate update = distribution::instances_difference(
        whole ? control::Instances() : view_.instances(), reading.instances);
    update.whole = whole;
    if (!whole && update.changed.empty() && update.gone.empty()) return;
    update.revision = next_revision();
    view_.apply(update);
    broadcast(update);
    logging::log(Level::info, Event::instance_list_published,
                 {{"revision", static_cast<std::int64_t>(update.revision.number)},
                  {"changed", static_cast<std::int64_t>(update.changed.size())},
                  {"gone", static_cast<std::int64_t>(update.gone.size())},
                  {"pages", static_cast<std::int64_t>(reading.pages)},
                  {"reading_ms", static_cast<std::int64_t>((loop_.now() - reading.begun_at) /
                                                           runtime::tenths_per_millisecond)}});
}

wire::Revision FleetServer::next_revision() { return {log_.term(), ++published_}; }

void FleetServer::broadcast(const wire::Message& message) {
    const std::string frame = wire::frame(message);
    for (const auto& [session, peer] : peers_) {
        if (peer.greeted && !peer.awaits_view) sessions_.send_frame(session, frame);
    }
}

// ---- how old this process's view may be ----

std::optional<runtime::Time> FleetServer::staleness() const {
    const std::optional<runtime::Time> of_log = log_.staleness();
    if (!of_log || log_.leads()) return of_log;
    // Members and instances come from the leader's session alone, which can hang while the log goes on.
    return std::max(*of_log, loop_.now() - leader_told_at_ - heartbeat_interval);
}

bool FleetServer::in_step() const {
    const std::optional<runtime::Time> age = staleness();
    return age && *age < freshness_limit_;
}

// Nobody begins with a view that may be old.
void FleetServer::send_views() {
    if (!in_step()) return;
    for (auto& [session, peer] : peers_) {
        if (!peer.awaits_view) continue;
        peer.awaits_view = false;
        for (const wire::Message& message : view_.whole()) sessions_.send(session, message);
        answer_stamp(session, peer);
    }
}

// ---- members ----

std::vector<wire::Member> FleetServer::direct_members() const {
    std::vector<wire::Member> members{self_};
    for (const auto& [session, peer] : peers_) {
        if (peer.greeted) members.push_back(peer.member);
    }
    return members;
}

void FleetServer::members_changed() {
    if (log_.leads()) {
        members_.report(loop_.steady_now(), self_.node, direct_members());
        publish_members();
    } else {
        report_members();
    }
}

void FleetServer::report_members() {
    if (to_leader_) sessions_.send(to_leader_, wire::MembersReport{direct_members()});
}

// The first change goes out at once, those that follow it closely together: every list names all members.
void FleetServer::publish_members() {
    if (publication_.pending()) return;
    const runtime::Time passed = loop_.now() - published_members_at_;
    if (passed >= distribution::publication_gap) return publish_members_now();
    publication_.start(distribution::publication_gap - passed, [this] {
        if (log_.leads()) publish_members_now();
    });
}

void FleetServer::publish_members_now() {
    published_members_at_ = loop_.now();
    const wire::MembersUpdate update{next_revision(), members_.members(), members_.whole(loop_.steady_now())};
    if (view_.apply(update).members) broadcast(update);
    expire_members();
}

void FleetServer::expire_members() {
    const auto next = members_.next_expiry();
    if (!next) return expiry_.cancel();
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*next - loop_.steady_now());
    expiry_.start(runtime::tenths(std::max(wait, std::chrono::milliseconds(1))), [this] {
        if (!log_.leads()) return;
        members_.expire(loop_.steady_now());
        publish_members();
    });
}

// ---- leadership ----

void FleetServer::leadership_changed() {
    if (log_.leads() && !led_) {
        published_ = 0;
        list_read_ = false;
        std::vector<wire::Member> known;
        for (const auto& [node, member] : view_.members()) known.push_back(member);
        members_ = control::MemberTable();
        members_.adopt(loop_.steady_now(), known, view_.members_whole());
        members_changed();
    }
    led_ = log_.leads();
    connect_to_leader();
}

void FleetServer::connect_to_leader() {
    const std::optional<std::string> leader = log_.leads() ? std::nullopt : log_.leader_address();
    if (to_leader_ && leader == leader_address_) return;
    if (to_leader_) { sessions_.close(std::exchange(to_leader_, 0)); }
    leader_address_.clear();
    reconnect_.cancel();
    if (!leader) return;
    const auto address = transport::parse_tcp_endpoint(*leader);
    if (!address) return;
    leader_address_ = *leader;
    to_leader_ = sessions_.open(*address, *this, distribution::connect_limit);
}

void FleetServer::session_opened(transport::SessionId session) {
    if (session != to_leader_) return;
    sessions_.send(session, wire::Hello{wire::protocol_version, self_});
    peers_[session] = Peer{.heard_at = loop_.now()};
    stamp_leader();
    report_members();
}

// ---- sessions ----

void FleetServer::session_received(transport::SessionId session, wire::Message&& message) {
    Peer& peer = peers_[session];
    peer.heard_at = loop_.now();
    if (session == to_leader_) return from_leader(message);
    if (const auto* const consensus = std::get_if<wire::ConsensusMessage>(&message)) {
        if (consensus_) consensus_(*consensus);
        return;
    }
    if (std::holds_alternative<wire::Probe>(message)) return send_heartbeat(session);
    if (const auto* const asked = std::get_if<wire::Heartbeat>(&message)) {
        peer.stamp = asked->stamp;
        return answer_stamp(session, peer);
    }
    if (const auto* const hello = std::get_if<wire::Hello>(&message)) return greeted(session, peer, *hello);
    if (const auto* const changed = std::get_if<wire::MemberChanged>(&message)) {
        return member_changed(peer, changed->self);
    }
    if (const auto* const report = std::get_if<wire::MembersReport>(&message)) {
        if (!log_.leads()) return;
        members_.report(loop_.steady_now(), peer.member.node, report->members);
        publish_members();
    }
}

// Behind all news that has been sent there: to one that still waits for the view it would prove nothing.
// While no list is known the stamp is kept, and answered again once there is one.
void FleetServer::answer_stamp(transport::SessionId session, Peer& peer) {
    if (peer.stamp == 0 || !peer.greeted || peer.awaits_view) return;
    wire::Heartbeat answer = heartbeat();
    answer.echo = peer.stamp;
    if (list_as_of_) peer.stamp = 0;
    sessions_.send(session, answer);
}

void FleetServer::answer_stamps() {
    for (auto& [session, peer] : peers_) answer_stamp(session, peer);
}

std::optional<runtime::Time> FleetServer::list_age() const {
    if (!list_as_of_) return std::nullopt;
    const runtime::Time age = loop_.now() - *list_as_of_;
    const bool newer_can_be_known = log_.leads() ? list_read_ : in_step();
    return newer_can_be_known ? age : std::min(age, longest_age_in_trouble);
}

// Counted from the stamp: what the leader tells without one may have been on its way for any time.
void FleetServer::stamp_answered(const wire::Heartbeat& heartbeat) {
    if (heartbeat.echo == 0) return;
    leader_told_at_ = std::max(leader_told_at_, static_cast<runtime::Time>(heartbeat.echo));
    if (heartbeat.list_age_ms == wire::unknown_list_age_ms) return;
    const bool first = !list_as_of_;
    const runtime::Time age = heartbeat.list_age_ms * runtime::tenths_per_millisecond;
    const runtime::Time as_of = static_cast<runtime::Time>(heartbeat.echo) - age;
    list_as_of_ = std::max(list_as_of_.value_or(as_of), as_of);
    if (first) answer_stamps();
}

void FleetServer::stamp_leader() {
    if (!peers_.contains(to_leader_)) return;  // none, or it is still being opened
    wire::Heartbeat asked = heartbeat();
    asked.stamp = static_cast<std::uint64_t>(loop_.now());
    sessions_.send(to_leader_, asked);
}

void FleetServer::from_leader(const wire::Message& message) {
    if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message)) stamp_answered(*heartbeat);
    const std::uint64_t before = view_.evacuations().index;
    const distribution::Changes changes = view_.apply(message);
    // Evacuations are passed on also where only their place in the log is later.
    if (changes.any() || view_.evacuations().index != before) broadcast(message);
}

void FleetServer::greeted(transport::SessionId session, Peer& peer, const wire::Hello& hello) {
    if (hello.protocol != wire::protocol_version) {
        sessions_.close(session);
        peers_.erase(session);
        return;
    }
    peer.greeted = true;
    peer.member = hello.self;
    logging::log(Level::info, Event::member_joined, {{"member", std::string_view(hello.self.node)}});
    peer.awaits_view = true;
    send_heartbeat(session);
    send_views();
    members_changed();
}

void FleetServer::member_changed(Peer& peer, const wire::Member& member) {
    if (!peer.greeted) return;
    peer.member = member;
    members_changed();
}

void FleetServer::session_closed(transport::SessionId session) {
    const auto found = peers_.find(session);
    if (session == to_leader_) {
        to_leader_ = 0;
        if (found != peers_.end()) peers_.erase(found);
        reconnect_.start(distribution::reconnect_pause, [this] { connect_to_leader(); });
        return;
    }
    if (found == peers_.end()) return;
    const Peer peer = found->second;
    peers_.erase(found);
    if (!peer.greeted) return;
    logging::log(Level::info, Event::member_left, {{"member", std::string_view(peer.member.node)}});
    if (log_.leads() && peer.member.role == wire::Role::control_plane) {
        members_.reporter_lost(loop_.steady_now(), peer.member.node);
    }
    members_changed();
}

void FleetServer::beat() {
    heartbeat_.start(heartbeat_interval, [this] { beat(); });
    drop_silent();
    send_views();
    const std::string frame = wire::frame(heartbeat());
    for (const auto& [session, peer] : peers_) {
        if (session != to_leader_) sessions_.send_frame(session, frame);
    }
    stamp_leader();
}

wire::Heartbeat FleetServer::heartbeat() const {
    wire::Heartbeat heartbeat;
    heartbeat.configuration = view_.configuration().version;
    const std::optional<runtime::Time> age = staleness();
    if (age)
        heartbeat.staleness_ms =
            static_cast<std::uint64_t>(std::max<runtime::Time>(0, *age) / runtime::tenths_per_millisecond);
    heartbeat.leader_control = leader_control().value_or("");
    if (const std::optional<runtime::Time> of_list = list_age()) {
        heartbeat.list_age_ms = static_cast<std::uint32_t>(*of_list / runtime::tenths_per_millisecond);
    }
    return heartbeat;
}

void FleetServer::send_heartbeat(transport::SessionId session) { sessions_.send(session, heartbeat()); }

void FleetServer::drop_silent() {
    std::vector<transport::SessionId> silent;
    for (const auto& [session, peer] : peers_) {
        if (loop_.now() - peer.heard_at > distribution::silence_limit) silent.push_back(session);
    }
    for (const transport::SessionId session : silent) {
        sessions_.close(session);
        session_closed(session);
    }
}

}  // namespace dewweir::control_plane
