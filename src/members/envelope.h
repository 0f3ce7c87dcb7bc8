// The one envelope that all datagrams between members are written in: a checksum, then CBOR (RFC 8949) as
// nlohmann-json writes it, with a name for each field, so that a newer version's fields are passed over by an
// older one. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "members/message.h"

namespace dewweir::members {

constexpr std::size_t most_bytes = 1200;  // of a datagram
constexpr std::size_t room_bytes = 1000;  // of these, for updates and words
constexpr int envelope_version = 1;

struct Envelope {
    std::string deployment, from;
    std::uint64_t instance = 0, sequence = 0;  // of the sender: each datagram has a number of its own
    Message message;

    bool operator==(const Envelope&) const = default;
};

// `now`: by the clock here, for the ages of words.
std::string written(const Envelope& envelope, Time now);

enum class Refused : std::uint8_t {
    none,
    torn,
    other_deployment,
    unknown_version,
    replayed,
    stranger,
    count
};
const char* name_of(Refused why);

// `deployment`: ours. What cannot be read is told apart by why.
Refused read_envelope(std::string_view bytes, const std::string& deployment, Time now, Envelope& into);

// Datagrams that have come already, by who sent them: the network may double or hold them back.
class Seen {
  public:
    // Whether it is new. One so old that it cannot be told is not.
    bool fresh(const std::string& from, std::uint64_t instance, std::uint64_t sequence);

  private:
    static constexpr std::size_t most_senders = 65536;
    struct Sender {
        std::uint64_t newest = 0, before = 0;  // a bit for each of the 64 before the newest
    };
    std::map<std::pair<std::string, std::uint64_t>, Sender> senders_;  // a process each
};

}  // namespace dewweir::members
