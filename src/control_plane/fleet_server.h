// Serves the view of the whole to gateways and to other control planes, and keeps it: at the leader members
// and instances come from reports and from the platform's list; elsewhere they are relayed from the leader.
// Owns all sessions.
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

class FleetServer : transport::SessionUser {
  public:
    FleetServer(runtime::EventLoop& loop, transport::Sessions& sessions, const wire::Member& self,
                const ReplicatedLog& log, runtime::Time freshness_limit);

    // Returns why the address can't be listened on, else nothing.
    std::optional<std::string> listen(const asio::ip::tcp::endpoint& address);
    // Consensus messages that come over the sessions.
    void on_consensus(std::function<void(const wire::ConsensusMessage&)> take) {
        consensus_ = std::move(take);
    }
    // What the log has applied is passed on.
    void publish_state();
    // This process leads now, or no longer, or another leader is known.
    void leadership_changed();
    // The platform's list as just read; at the leader alone.
    void instances_read(const control::InstanceReading& reading);
    // The platform did not tell its list.
    void instances_unread() { list_read_ = false; }

    // For how long changes may have been acknowledged, or news told by the leader, that this process lacks;
    // nothing where it was never in step.
    std::optional<runtime::Time> staleness() const;
    const distribution::View& view() const { return view_; }
    const wire::Member& self() const { return self_; }
    // Where the leader takes operators' calls; nothing while it is not known.
    std::optional<std::string> leader_control() const;

  private:
    struct Peer {
        bool greeted = false;
        bool awaits_view = false;  // greeted while this process was not in step
        wire::Member member{};
        runtime::Time heard_at = 0;
        std::uint64_t stamp = 0;  // to be sent back; 0: none
    };

    void session_opened(transport::SessionId session) override;
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;

    void publish_instances(const control::InstanceReading& reading);
    void send_heartbeat(transport::SessionId session);
    wire::Heartbeat heartbeat() const;
    std::optional<runtime::Time> list_age() const;
    bool in_step() const;
    void send_views();
    void greeted(transport::SessionId session, Peer& peer, const wire::Hello& hello);
    void member_changed(Peer& peer, const wire::Member& member);
    void from_leader(const wire::Message& message);
    void answer_stamp(transport::SessionId session, Peer& peer);
    void answer_stamps();
    void stamp_leader();
    void stamp_answered(const wire::Heartbeat& heartbeat);
    void members_changed();
    void publish_members();
    void publish_members_now();
    void report_members();
    std::vector<wire::Member> direct_members() const;
    void broadcast(const wire::Message& message);
    void beat();
    void drop_silent();
    void connect_to_leader();
    void expire_members();
    wire::Revision next_revision();

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    wire::Member self_;
    const ReplicatedLog& log_;
    const runtime::Time freshness_limit_;  // with an older proof nobody is given the whole view
    distribution::View view_;
    std::map<transport::SessionId, Peer> peers_;
    std::function<void(const wire::ConsensusMessage&)> consensus_;
    control::MemberTable members_;
    std::uint64_t published_ = 0;  // updates in this term
    // All news of instances that the platform told before is in the view; nothing where none was ever read.
    std::optional<runtime::Time> list_as_of_;
    bool list_read_ = false;  // by this leader, at its last attempt
    transport::SessionId to_leader_ = 0;
    runtime::Time leader_told_at_ = 0;  // all that the leader told before is here
    std::string leader_address_;        // that `to_leader_` goes to
    bool led_ = false;
    runtime::Timer heartbeat_;
    runtime::Timer expiry_;
    runtime::Timer publication_;  // pending while changes of the members are gathered
    runtime::Time published_members_at_ = 0;
    runtime::Timer reconnect_;
};

}  // namespace dewweir::control_plane
