#include "control_plane/consensus_links.h"

#include "distribution/intervals.h"
#include "transport/addresses.h"

namespace dewweir::control_plane {
namespace {

constexpr std::size_t most_datagram_bytes = 1200;
// A session to a replica that has said nothing for so long may hang in a cut link: a new one is opened.
constexpr runtime::Time silence_of_link = 600 * runtime::tenths_per_millisecond;

}  // namespace

ConsensusLinks::ConsensusLinks(runtime::EventLoop& loop, transport::Sessions& sessions, Received received,
                               Joining joining)
    : loop_(loop),
      sessions_(sessions),
      received_(std::move(received)),
      joining_(std::move(joining)),
      datagrams_(loop, [this](const asio::ip::udp::endpoint&, const wire::Message& message) {
          received_datagram(message);
      }) {}

std::optional<std::string> ConsensusLinks::bind(const asio::ip::udp::endpoint& address) {
    return datagrams_.bind(address);
}

void ConsensusLinks::send(const consensus::Envelope& envelope) {
    const auto address = settings::parse_endpoint(envelope.to.address);
    if (!address) return;
    const wire::Message message = wire::wrap(envelope);
    const auto& wrapped = std::get<wire::ConsensusMessage>(message);
    const bool small = wrapped.body.size() <= most_datagram_bytes;
    if (small) return datagrams_.send(transport::udp_endpoint(*address), message);
    send_by_session(envelope.to.address, message);
}

void ConsensusLinks::send_join(const std::string& address, const consensus::Replica& replica) {
    const auto endpoint = settings::parse_endpoint(address);
    if (endpoint) datagrams_.send(transport::udp_endpoint(*endpoint), wire::JoinRequest{replica});
}

void ConsensusLinks::send_by_session(const std::string& address, const wire::Message& message) {
    Link& link = links_[address];
    const bool silent = loop_.now() - link.heard_at > silence_of_link;
    if (link.session && silent) sessions_.close(std::exchange(link.session, 0));
    if (!link.session) {
        const auto endpoint = transport::parse_tcp_endpoint(address);
        if (!endpoint) return;
        link.session = sessions_.open(*endpoint, *this, distribution::connect_limit);
        link.heard_at = loop_.now();
    }
    if (link.session) sessions_.send(link.session, message);
}

void ConsensusLinks::received_datagram(const wire::Message& message) {
    if (const auto* const wrapped = std::get_if<wire::ConsensusMessage>(&message)) return take(*wrapped);
    if (const auto* const join = std::get_if<wire::JoinRequest>(&message)) joining_(join->replica);
}

void ConsensusLinks::take(const wire::ConsensusMessage& message) {
    links_[message.from.address].heard_at = loop_.now();
    const std::optional<consensus::Envelope> envelope = wire::unwrap(message);
    if (envelope) received_(*envelope);
}

void ConsensusLinks::session_received(transport::SessionId, wire::Message&& message) {
    if (const auto* const wrapped = std::get_if<wire::ConsensusMessage>(&message)) take(*wrapped);
}

void ConsensusLinks::session_closed(transport::SessionId session) {
    for (auto& [address, link] : links_) {
        if (link.session == session) link.session = 0;
    }
}

}  // namespace dewweir::control_plane
