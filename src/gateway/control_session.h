// This gateway's session with the control plane: keeps one open to a control plane that is in touch, tells it
// that this gateway lives and takes the view of the whole from it. While none can be reached the last view
// stays.
#pragma once

#include <functional>
#include <vector>

#include "distribution/view.h"
#include "settings/settings.h"
#include "transport/sessions.h"

namespace dewweir::gateway {

class ControlSession : transport::SessionUser {
  public:
    using Changed = std::function<void(const distribution::Changes&)>;

    ControlSession(runtime::EventLoop& loop, transport::Sessions& sessions,
                   const settings::Settings& settings, const wire::Member& self, Changed changed);

    void start();
    // Tells whether this gateway takes new clients.
    void set_ready(bool ready);
    // Other control planes to begin with, from a settings file read again.
    void set_seeds(const std::vector<settings::Endpoint>& seeds);

    const distribution::View& view() const { return view_; }
    const wire::Member& self() const { return self_; }

  private:
    void connect();
    void connect_later();
    std::vector<std::string> candidates() const;
    void session_opened(transport::SessionId session) override;
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;
    void leave_if_stale(const wire::Heartbeat& heartbeat);
    void beat();

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    std::uint16_t internal_port_;
    std::vector<settings::Endpoint> seeds_;
    wire::Member self_;
    Changed changed_;
    distribution::View view_;
    transport::SessionId session_ = 0;
    bool open_ = false;
    std::size_t next_candidate_ = 0;
    runtime::Time heard_at_ = 0;
    runtime::Timer heartbeat_;
    runtime::Timer reconnect_;
};

}  // namespace dewweir::gateway
