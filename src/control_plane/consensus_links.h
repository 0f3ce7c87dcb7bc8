// Transport of consensus messages between control planes. Small messages go as datagrams, which a broken
// connection cannot hold up; large ones go over TCP sessions, which are reopened when the peer is
// unresponsive. Owns those sessions.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "transport/datagrams.h"
#include "transport/sessions.h"

namespace dewweir::control_plane {

class ConsensusLinks : transport::SessionUser {
  public:
    using MessageCallback = std::function<void(const consensus::Envelope&)>;
    using JoinCallback = std::function<void(const consensus::Replica&)>;

    // `on_message` receives every consensus message, `on_join` every request to join the group.
    ConsensusLinks(runtime::EventLoop& loop, transport::Sessions& sessions, MessageCallback on_message,
                   JoinCallback on_join);

    // Binds the datagram socket. Returns why that failed, or nothing on success.
    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    // Messages may be lost or, over datagrams, reordered; Raft retries.
    void send(const consensus::Envelope& envelope);
    // Asks the control plane at `address` to have `replica` added to the group.
    void send_join(const std::string& address, const consensus::Replica& replica);
    // Hands in a consensus message that arrived over a session of another owner.
    void message_received(const wire::ConsensusMessage& message);

  private:
    struct Link {
        transport::SessionId session = 0;  // 0: none
        runtime::Time last_contact = 0;    // when the last message arrived, by datagram or session
    };

    void datagram_received(const wire::Message& message);
    void session_received(transport::SessionId session, wire::Message&& message) override;
    void session_closed(transport::SessionId session) override;
    void send_by_session(const std::string& address, const wire::Message& message);

    runtime::EventLoop& loop_;
    transport::Sessions& sessions_;
    MessageCallback on_message_;
    JoinCallback on_join_;
    transport::Datagrams datagrams_;
    std::map<std::string, Link> links_;  // by the peer's internal address
};

}  // namespace dewweir::control_plane
