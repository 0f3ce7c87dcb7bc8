// This gateway's session with the control plane: takes the view of the whole from one that is in step with a
// majority (control_plane_search.h) and tells it that this gateway lives. While none is in step the last view
// stays.
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
    using Changed = std::function<void(const distribution::Changes&)>;

    using LeaseChanged = std::function<void(const ListLease&)>;
    // Whether another gateway has answered this one at once since this moment.
    using LinkPrompt = std::function<bool(runtime::Time)>;

    ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                   const settings::Settings& settings, const wire::Member& self, Changed changed,
                   LeaseChanged lease_changed, LinkPrompt link_prompt);

    void start();
    // Tells whether this gateway takes new clients.
    void set_ready(bool ready);
    // Other control planes to begin with, from a settings file read again.
    void set_seeds(const std::vector<settings::Endpoint>& seeds);

    const distribution::View& view() const { return view_; }
    const wire::Member& self() const { return self_; }
    const ListLease& lease() const { return lease_; }

  private:
    std::vector<std::string> candidates() const;
    void review();
    void review_later();
    void attempt(const std::string& address);
    void adopt(transport::SessionId session);
    void session_opened(transport::SessionId session) override;
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;
    void beat();
    void send_stamp();
    void echoed(const wire::Heartbeat& heartbeat);
    void tell_lease();

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    std::uint16_t internal_port_;
    std::vector<settings::Endpoint> seeds_;
    wire::Member self_;
    Changed changed_;
    distribution::View view_;
    ControlPlaneSearch search_;
    LeaseChanged lease_changed_;
    LinkPrompt link_prompt_;
    ListLease lease_;
    // As last told.
    bool lease_held_ = false;
    runtime::Time lease_until_ = 0;
    runtime::Timer heartbeat_;
    runtime::Timer review_;
};

// The intervals that this process's settings lead to.
distribution::SearchIntervals search_intervals(const settings::Settings& settings);

}  // namespace dewweir::gateway
