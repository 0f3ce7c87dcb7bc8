// Serves the fleet's shared state to gateways and to other control planes. On the leader, members come from
// the control planes' reports and instances from the platform's list; the other control planes relay both
// from the leader. Configuration and evacuations come from the local replicated log. Owns all sessions.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "control/instance_poller.h"
#include "control/member_table.h"
#include "control_plane/replicated_log.h"
#include "distribution/view.h"
#include "transport/sessions.h"

namespace dewweir::control_plane {

// Staleness is measured without comparing clocks: a process sends a stamp (a time of its own clock) in a
// heartbeat, and the receiver echoes it after all updates it has sent before. When the echo arrives, the
// sender holds every update that the receiver had published by the time of the stamp.
class FleetServer : transport::SessionUser {
  public:
    // `max_staleness`: a process whose own proof of being in sync is older sends nobody its view.
    FleetServer(runtime::EventLoop& loop, transport::Sessions& sessions, const wire::Member& self,
                const ReplicatedLog& log, runtime::Time max_staleness);

    // Listens for sessions. Returns why that failed, or nothing on success.
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    // Sets the receiver of consensus messages that arrive over the sessions.
    void on_consensus(std::function<void(const wire::ConsensusMessage&)> callback) {
        on_consensus_message_ = std::move(callback);
    }
    // Publishes what the log has applied since the last call.
    void publish_state();
    // The leader, or this process's knowledge of it, has changed.
    void leadership_changed();
    // A complete reading of the platform's list; ignored unless this process leads.
    void instance_list_read(const control::InstanceReading& reading);
    // A reading of the platform's list failed.
    void instance_list_failed() { last_list_read_succeeded_ = false; }

    // For how long changes may have been acknowledged, or updates published by the leader, that are missing
    // here. Nothing before the first proof of being in sync.
    std::optional<runtime::Time> staleness() const;
    const distribution::View& view() const { return view_; }
    const wire::Member& self() const { return self_; }
    // The address of the leader's operator API, "IPv4:port"; nothing while no leader is known.
    std::optional<std::string> leader_control() const;

  private:
    // The other end of a session.
    struct Peer {
        bool said_hello = false;
        // Receives no updates until it is sent the whole view: this process was not in sync when it joined,
        // or updates wait in its session already.
        bool awaits_view = false;
        wire::Member member{};           // from its Hello; empty before
        runtime::Time last_contact = 0;  // when its last message arrived
        std::uint64_t stamp = 0;         // still to be echoed; 0: none
    };

    void session_opened(transport::SessionId session) override;
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;

    void publish_instances(const control::InstanceReading& reading);
    void send_heartbeat(transport::SessionId session);
    void answer_probe(transport::SessionId session, const wire::Probe& probe);
    wire::Heartbeat heartbeat() const;
    std::optional<runtime::Time> list_age() const;
    bool in_sync() const;
    void send_pending_views();
    bool is_backlogged(transport::SessionId session);
    void hello_received(transport::SessionId session, Peer& peer, const wire::Hello& hello);
    void member_changed(Peer& peer, const wire::Member& member);
    void leader_message_received(const wire::Message& message);
    void echo_stamp(transport::SessionId session, Peer& peer);
    void echo_stamps();
    void send_stamp_to_leader();
    void echo_received(const wire::Heartbeat& heartbeat);
    void members_changed();
    void publish_members();
    void publish_members_now();
    void report_members_to_leader();
    std::vector<wire::Member> connected_members() const;
    void broadcast(const wire::Message& message);
    void heartbeat_tick();
    void close_unresponsive_sessions();
    void connect_to_leader();
    void schedule_member_expiry();
    wire::Revision next_revision();

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    wire::Member self_;
    const ReplicatedLog& log_;
    const runtime::Time max_staleness_;
    distribution::View view_;
    std::map<transport::SessionId, Peer> peers_;
    std::function<void(const wire::ConsensusMessage&)> on_consensus_message_;
    control::MemberTable members_;
    // Of the last update published; starts again at 0 whenever this process becomes the leader.
    std::uint64_t last_revision_number_ = 0;
    // The view holds every instance change that the platform showed before this time; nothing before the
    // first list.
    std::optional<runtime::Time> list_as_of_;
    bool last_list_read_succeeded_ = false;    // as the leader, at the last attempt
    transport::SessionId leader_session_ = 0;  // 0: none
    runtime::Time leader_synced_at_ = 0;       // every update the leader sent before this time has arrived
    std::string leader_address_;               // the remote address of leader_session_
    bool was_leader_ = false;                  // at the last leadership_changed()
    runtime::Timer heartbeat_;
    runtime::Timer expiry_;
    runtime::Timer publication_;  // pending while further member changes are collected
    runtime::Time members_published_at_ = 0;
    runtime::Timer reconnect_;
};

}  // namespace dewweir::control_plane
