#include "control_plane/consensus_links.h"

#include "distribution/intervals.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {
namespace {

constexpr std::size_t max_datagram_bytes = 1200;  // of the encoded message body; larger ones use a session
// A session whose replica has sent nothing for this long may be stuck on a broken connection; a new one is
// opened.
constexpr runtime::Time unresponsive_session_timeout = 600 * runtime::tenths_per_millisecond;

}  // namespace

ConsensusLinks::ConsensusLinks(runtime::EventLoop& loop, transport::Sessions& sessions,
                               MessageCallback on_message, JoinCallback on_join)
    : loop_(loop),
      sessions_(sessions),
      on_message_(std::move(on_message)),
      on_join_(std::move(on_join)),
      datagrams_(loop, [this](const asio::ip::udp::endpoint&, const wire::Message& message) {
          datagram_received(message);
      }) {}

std::optional<std::string> ConsensusLinks::bind(const asio::ip::udp::endpoint& address) {
    return datagrams_.bind(address);
}

void ConsensusLinks::send(const consensus::Envelope& envelope) {
    const auto address = settings::parse_endpoint(envelope.to.address);
    if (!address) return;
    const wire::Message message = wire::wrap(envelope);
    const auto& wrapped = std::get<wire::ConsensusMessage>(message);
    const bool small = wrapped.body.size() <= max_datagram_bytes;
    if (small) return datagrams_.send(transport::udp_endpoint(*address), message);
    send_by_session(envelope.to.address, message);
}

void ConsensusLinks::send_join(const std::string& address, const consensus::Replica& replica) {
    const auto endpoint = settings::parse_endpoint(address);
    if (endpoint) datagrams_.send(transport::udp_endpoint(*endpoint), wire::JoinRequest{replica});
}

void ConsensusLinks::send_by_session(const std::string& address, const wire::Message& message) {
    Link& link = links_[address];
    const bool unresponsive = loop_.now() - link.last_contact > unresponsive_session_timeout;
    if (link.session && unresponsive) sessions_.close(std::exchange(link.session, 0));
    if (!link.session) {
        const auto endpoint = transport::parse_tcp_endpoint(address);
        if (!endpoint) return;
        link.session = sessions_.open(*endpoint, *this, distribution::connect_timeout);
        link.last_contact = loop_.now();
    }
    if (link.session) sessions_.send(link.session, message);
}

void ConsensusLinks::datagram_received(const wire::Message& message) {
    if (const auto* const wrapped = std::get_if<wire::ConsensusMessage>(&message))
        return message_received(*wrapped);
    if (const auto* const join = std::get_if<wire::JoinRequest>(&message)) on_join_(join->replica);
}

void ConsensusLinks::message_received(const wire::ConsensusMessage& message) {
    links_[message.from.address].last_contact = loop_.now();
    const std::optional<consensus::Envelope> envelope = wire::unwrap(message);
    if (envelope) on_message_(*envelope);
}

void ConsensusLinks::session_received(transport::SessionId, wire::Message&& message) {
    if (const auto* const wrapped = std::get_if<wire::ConsensusMessage>(&message)) message_received(*wrapped);
}

void ConsensusLinks::session_closed(transport::SessionId session) {
    for (auto& [address, link] : links_) {
        if (link.session == session) link.session = 0;
    }
}

}  // namespace dewweir::control_plane
