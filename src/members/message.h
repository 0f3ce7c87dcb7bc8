// The messages that members of a fleet exchange: membership updates, and gossip items of other packages that
// travel along with them. Data only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::members {

// An IPv4 address and port packed into one number (address << 16 | port); 0: none.
using Address = std::uint64_t;

// State of a member, in the order of precedence among updates of the same incarnation.
enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);

// A claim about one member. Of two claims the one that supersedes the other is decided by instance, then
// incarnation, then state, so that any set of updates, applied in any order, gives the same result.
struct Update {
    std::string name;
    Address address = 0;
    std::uint64_t instance = 0;     // identifies the process: its start time in ms since 1970
    std::uint32_t incarnation = 0;  // raised only by the member itself, to refute a claim about it
    State state = State::alive;
    std::string by{};  // of a suspicion: the member that raised it

    bool operator==(const Update&) const = default;
};
// Whether `a` supersedes `b`; both must be about the same member.
bool supersedes(const Update& a, const Update& b);

// A datum of another package that is gossiped without being interpreted here. An item replaces an earlier one
// of the same key. Clocks of members need not agree: an item's age is sent, and each member adds how long it
// has kept the item; the time a datagram takes is not counted. Expired items are not passed on.
struct GossipItem {
    std::string key;
    std::uint64_t sequence = 0;  // of two items of one key, the higher one is the later
    Time created_at = 0;         // by the local clock
    Time time_to_live = 0;
    std::string payload{};  // CBOR

    bool is_expired(Time now) const { return now >= created_at + time_to_live; }

    bool operator==(const GossipItem&) const = default;
};

// On the wire as a number: the order is part of the format.
enum class MessageKind : std::uint8_t {
    ping,          // asks for an ack
    ping_request,  // asks the receiver to ping `target` on behalf of the sender
    ack,           // answers a ping, or a ping request whose target has answered
    nack,          // answers a ping request: the target has not answered so far
    gossip,        // carries updates and items; no answer is expected
    list_request,  // asks for the full list of members and items, from entry `number` on
    list,          // one part of that list
    count,
};

struct Message {
    MessageKind kind = MessageKind::gossip;
    std::uint64_t number = 0;    // of the ping this belongs to, or the list entry at which to continue
    std::string target{};        // of a ping request
    Address target_address = 0;  // of a ping request
    bool more = false;           // of a list: it continues with entry `number`
    std::vector<Update> updates{};
    std::vector<GossipItem> items{};

    bool operator==(const Message&) const = default;
};

}  // namespace dewweir::members
