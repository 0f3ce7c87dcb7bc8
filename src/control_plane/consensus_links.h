// Carries consensus messages between control planes: small ones as datagrams, which a cut link never holds
// up, large ones over sessions, which are renewed when the other side has been silent. Owns those sessions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "transport/datagrams.h"
#include "transport/sessions.h"

namespace dewweir::control_plane {

class ConsensusLinks : transport::SessionUser {
  public:
    using Received = std::function<void(const consensus::Envelope&)>;
    using Joining = std::function<void(const consensus::Replica&)>;

    ConsensusLinks(runtime::EventLoop& loop, transport::Sessions& sessions, Received received,
                   Joining joining);

    // Returns why the address can't be bound, or nothing once it is.
    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    void send(const consensus::Envelope& envelope);
    void send_join(const std::string& address, const consensus::Replica& replica);
    // A consensus message that came over a session of another owner's.
    void take(const wire::ConsensusMessage& message);

  private:
    struct Link {
        transport::SessionId session = 0;
        runtime::Time heard_at = 0;  // any message from there, by either way
    };

    void received_datagram(const wire::Message& message);
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;
    void send_by_session(const std::string& address, const wire::Message& message);

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    Received received_;
    Joining joining_;
    transport::Datagrams datagrams_;
    std::map<std::string, Link> links_;  // by address
};

}  // namespace dewweir::control_plane
