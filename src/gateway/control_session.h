// Session of this gateway with a control plane. Receives the cluster view (configuration, instances, members,
// evacuations) from a control plane that is in sync with a majority (control_plane_search.h), sends this
// gateway's heartbeats, and maintains the lease on the list of hosts (list_lease.h). While no control plane
// is in sync the last view stays in force.
#pragma once

#include <functional>
#include <vector>

#include "distribution/view.h"
#include "gateway/control_plane_search.h"
#include "gateway/list_lease.h"
#include "settings/settings.h"
#include "transport/sessions.h"

namespace dewweir::gateway {

class ControlSession : transport::SessionUser {
  public:
    // Called after each update that changed `view()`.
    using ViewChangedHandler = std::function<void(const distribution::Changes&)>;
    // Called when the end of the lease moves, and when the lease is lost or renewed.
    using LeaseChangedHandler = std::function<void(const ListLease&)>;
    // Returns whether another gateway has answered this gateway in time since the given time. A true result
    // shows that the network link of this machine is responsive.
    using PeerAnsweredSince = std::function<bool(runtime::Time)>;

    ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                   const settings::Settings& settings, const wire::Member& self,
                   ViewChangedHandler on_view_changed, LeaseChangedHandler on_lease_changed,
                   PeerAnsweredSince peer_answered_since);

    void start();
    // Announces whether this gateway accepts new clients.
    void set_ready(bool ready);
    // Replaces the seed control planes after the settings file was reloaded.
    void set_seeds(const std::vector<settings::Endpoint>& seeds);

    const distribution::View& view() const { return view_; }
    const wire::Member& self() const { return self_; }
    const ListLease& lease() const { return lease_; }

  private:
    std::vector<std::string> control_plane_addresses() const;
    void review();
    void schedule_review();
    void open_session(const std::string& address);
    void adopt(transport::SessionId session);
    void session_opened(transport::SessionId session) override;
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;
    void send_probe(transport::SessionId session);
    void heartbeat_received(transport::SessionId session, const wire::Heartbeat& heartbeat);
    void heartbeat_tick();
    void send_heartbeat();
    void heartbeat_echoed(const wire::Heartbeat& heartbeat);
    void notify_lease();

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    std::uint16_t internal_port_;  // of the control planes at the seed addresses
    runtime::Time max_staleness_;  // of a control plane that counts as in sync
    std::vector<settings::Endpoint> seeds_;
    wire::Member self_;
    ViewChangedHandler on_view_changed_;
    distribution::View view_;
    ControlPlaneSearch search_;
    LeaseChangedHandler on_lease_changed_;
    PeerAnsweredSince peer_answered_since_;
    ListLease lease_;
    // State of the lease at the last call of `on_lease_changed_`.
    bool notified_lease_held_ = false;
    runtime::Time notified_lease_end_ = 0;
    runtime::Timer heartbeat_timer_;
    runtime::Timer review_timer_;
};

// The search intervals that follow from the settings' bound on applying a configuration and from the number
// of machines that may fail at once.
distribution::SearchIntervals search_intervals(const settings::Settings& settings);

}  // namespace dewweir::gateway
