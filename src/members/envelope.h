// Encoding of datagrams between members: a checksum (XXH64) followed by a CBOR map (RFC 8949) with named
// fields, so that an older version skips fields that a newer one has added. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "members/message.h"

namespace dewweir::members {

constexpr std::size_t max_datagram_bytes = 1200;
constexpr std::size_t max_gossip_bytes = 1000;  // of a datagram, for updates and gossip items
constexpr int envelope_version = 1;

// A message with its sender.
struct Envelope {
    std::string deployment, from;
    std::uint64_t instance = 0;  // of the sending process
    std::uint64_t sequence = 0;  // unique among the datagrams of that process, rising
    Message message;

    bool operator==(const Envelope&) const = default;
};

// `now`: local time, from which the ages of the gossip items are computed.
std::string encode_envelope(const Envelope& envelope, Time now);

// Why a received datagram is dropped. Counted in the status file under these names.
enum class RejectReason : std::uint8_t {
    none,
    torn,              // truncated, corrupt, or not in the expected form
    other_deployment,  // from a fleet with another deployment name
    unknown_version,   // an envelope version or message kind this version does not know
    replayed,          // seen before, or too old to tell
    stranger,          // from an address that the operator file does not list
    count
};
const char* name_of(RejectReason why);

// Decodes a datagram into `into`. `deployment`: the name this fleet uses. Returns why it is rejected, or
// none; `into` is unspecified unless the result is none.
RejectReason decode_envelope(std::string_view bytes, const std::string& deployment, Time now, Envelope& into);

// Recognizes datagrams that have already been received: the network may duplicate or delay them. Keeps a
// sliding window of 64 sequence numbers for each sending process.
class ReplayFilter {
  public:
    // Records a datagram; returns whether it is new. One older than the window counts as a replay.
    bool accept(const std::string& from, std::uint64_t instance, std::uint64_t sequence);

  private:
    static constexpr std::size_t max_senders = 65536;
    struct Sender {
        std::uint64_t newest = 0;
        std::uint64_t before = 0;  // bit n: whether sequence number newest - 1 - n was received
    };
    std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;  // by name and instance
};

}  // namespace dewweir::members
