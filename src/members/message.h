// What members of a fleet tell each other: who is there, and words of other kinds that travel along. Data
// alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::members {

// IPv4 address and port in one number; 0: none.
using Address = std::uint64_t;

enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);

// What is said of one member. Of two, the later one holds: by instance, then incarnation, then by the order
// of states, so that any number of them, in any order, come to the same.
struct Update {
    std::string name;
    Address address = 0;
    std::uint64_t instance = 0;     // of the process: when it was started, in ms since 1970
    std::uint32_t incarnation = 0;  // raised by the member alone, to refute what is said of it
    State state = State::alive;
    std::string by{};  // of a suspicion: who found it

    bool operator==(const Update&) const = default;
};
// Whether `a` holds over `b`, which is of the same member.
bool later(const Update& a, const Update& b);

// A word of another package's, carried and not understood here: `key` is what a later one of the same key
// replaces, `rank` says which is later. Clocks need not agree: on the wire goes its age, to which each adds
// for how long it has had it; what a datagram is on its way is not counted. Past its life nobody passes it
// on.
struct Word {
    std::string key;
    std::uint64_t rank = 0;
    Time born = 0, life = 0;  // by the clock here
    std::string bytes{};

    bool past(Time now) const { return now >= born + life; }

    bool operator==(const Word&) const = default;
};

enum class Kind : std::uint8_t {
    ping,     // answer me
    request,  // ping `whom` for me, and tell me
    ack,      // of a ping, or of a request's
    nack,     // of a request: not answered so far
    gossip,   // no answer is asked for
    ask,      // tell me all you know, from `number` on
    list,     // a part of it
    count,
};

struct Message {
    Kind kind = Kind::gossip;
    std::uint64_t number = 0;  // of the ping that is answered, or where a list goes on
    std::string whom{};        // of a request
    Address whom_at = 0;
    bool more = false;  // of a list: there is more from `number` on
    std::vector<Update> updates{};
    std::vector<Word> words{};

    bool operator==(const Message&) const = default;
};

}  // namespace dewweir::members
