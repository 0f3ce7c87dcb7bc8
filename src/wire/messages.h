// What the system's processes say to each other, as typed messages with msgpack encoding. Data alone. The
// version of the protocol stands in every session's first message; later versions add fields at the end.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "wire/consensus_messages.h"

namespace dewweir::wire {

constexpr std::uint32_t protocol_version = 1;

enum class Role : std::uint8_t { gateway, control_plane };
enum class InstanceState : std::uint8_t { ready, draining };

// One process of the system, as others know it.
struct Member {
    std::string node;        // the machine's name
    std::uint64_t life = 0;  // drawn anew at every start
    Role role = Role::gateway;
    std::string zone;
    std::string region;
    std::string internal;  // "IPv4:port" for messages of the system
    std::string front;     // where clients connect; empty for none
    std::string control;   // where operators call; empty for none
    bool ready = false;    // takes new clients
    MSGPACK_DEFINE(node, life, role, zone, region, internal, front, control, ready);
    bool operator==(const Member&) const = default;
};

// One life of a host, as the platform's list has it.
struct Instance {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint32_t capacity = 0;
    InstanceState state = InstanceState::ready;
    std::uint32_t cold_left_ms = 0;  // when it was read
    MSGPACK_DEFINE(id, service, address, zone, capacity, state, cold_left_ms);
    bool operator==(const Instance&) const = default;
};

// Orders what leaders publish: by the leader's term, then by its own count.
struct Revision {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(term, number);
    auto operator<=>(const Revision&) const = default;
};

// A session's first message, from the process that connects.
struct Hello {
    std::uint32_t protocol = protocol_version;
    Member self;
    MSGPACK_DEFINE(protocol, self);
};

// The staleness of a control plane that has no proof of ever having been in step with a majority.
constexpr std::uint64_t never_in_step = UINT64_MAX;

// The list's age at a process that has never held one.
constexpr std::uint32_t unknown_list_age_ms = UINT32_MAX;

// Tells the receiver that the sender lives and what it has; sent by both ends at every heartbeat interval.
struct Heartbeat {
    std::uint32_t configuration = 0;  // the version in force at the sender, 0 for none
    std::uint64_t staleness_ms =
        never_in_step;           // for how long changes may have been acknowledged that it lacks
    std::string leader_control;  // where the leader's operator calls go, if known
    std::uint64_t stamp = 0;     // of the sender's own clock; 0: none
    std::uint64_t echo = 0;      // the stamp that this answers; 0: none
    std::uint32_t list_age_ms = unknown_list_age_ms;  // of the list of instances, when this was sent
    MSGPACK_DEFINE(configuration, staleness_ms, leader_control, stamp, echo, list_age_ms);
};

// The whole configuration as the operator sent it.
struct ConfigurationUpdate {
    std::uint32_t version = 0;
    std::string text;
    MSGPACK_DEFINE(version, text);
};

// All zones that are evacuated, as of this index of the replicated log.
struct EvacuationsUpdate {
    std::uint64_t index = 0;
    std::vector<std::string> zones;
    MSGPACK_DEFINE(index, zones);
};

// Replaces what was known of these instances; `whole` replaces the whole list.
struct InstancesUpdate {
    Revision revision;
    bool whole = false;
    std::vector<Instance> changed;
    std::vector<std::string> gone;
    MSGPACK_DEFINE(revision, whole, changed, gone);
};

// All members there are.
struct MembersUpdate {
    Revision revision;
    std::vector<Member> members;
    // Whether these are all. Not where a leader that has only begun knew nobody: then who is missing may only
    // not have been heard of yet. Since 2026-12; earlier senders meant all.
    bool whole = true;
    MSGPACK_DEFINE(revision, members, whole);
};

// The sender's own entry has changed.
struct MemberChanged {
    Member self;
    MSGPACK_DEFINE(self);
};

// All members that have a session with the sender, itself included.
struct MembersReport {
    std::vector<Member> members;
    MSGPACK_DEFINE(members);
};

// A consensus message; `body` is one of the consensus package's messages, `kind` its place in their variant.
struct ConsensusMessage {
    consensus::Replica from;
    consensus::Replica to;
    std::uint32_t kind = 0;
    std::string body;
    MSGPACK_DEFINE(from, to, kind, body);
};

// A replica that is no member asks to become one; sent to any control plane, which passes it on to the
// leader.
struct JoinRequest {
    consensus::Replica replica;
    MSGPACK_DEFINE(replica);
};

// A gateway states to the holder of a tenant's counts what it has let in itself, by windows of its own clock
// (quota/count_holder.h).
struct CountStatement {
    std::uint64_t tenant = 0;
    std::uint64_t gateway = 0;
    std::uint64_t sequence = 0;
    std::uint32_t window_ms = 0;
    std::uint32_t elapsed_ms = 0;
    double current = 0;
    double previous = 0;
    bool answer = true;  // whether an answer is wanted
    MSGPACK_DEFINE(tenant, gateway, sequence, window_ms, elapsed_ms, current, previous, answer);
};

// Of an answer whose holder doesn't tell it.
constexpr std::uint32_t unknown_elapsed_ms = UINT32_MAX;

// What all other gateways have let in, in answer to a statement.
struct CountAnswer {
    std::uint64_t tenant = 0;
    std::uint64_t gateway = 0;
    std::uint64_t sequence = 0;
    double others = 0;
    std::uint32_t elapsed_ms = unknown_elapsed_ms;  // of the holder's window
    MSGPACK_DEFINE(tenant, gateway, sequence, others, elapsed_ms);
};

// Asks a control plane for a heartbeat at once, from a gateway that looks for one that is in step; it is a
// member only after its Hello.
struct Probe {
    std::uint32_t protocol = protocol_version;
    std::uint64_t stamp = 0;  // of the gateway's own clock, echoed by the heartbeat; 0: none
    MSGPACK_DEFINE(protocol, stamp);
};

using Message = std::variant<Hello, Heartbeat, ConfigurationUpdate, EvacuationsUpdate, InstancesUpdate,
                             MembersUpdate, MemberChanged, MembersReport, ConsensusMessage, JoinRequest,
                             CountStatement, CountAnswer, Probe>;

}  // namespace dewweir::wire

// Numbers that stand for no value of an enumeration can't be read.
namespace dewweir::wire {

template <class Enum> void read_enum(const msgpack::object& object, Enum& value, Enum last) {
    const auto number = object.as<std::underlying_type_t<Enum>>();
    if (number > static_cast<std::underlying_type_t<Enum>>(last)) throw msgpack::type_error();
    value = static_cast<Enum>(number);
}

}  // namespace dewweir::wire

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    template <> struct convert<dewweir::wire::Role> {
        const msgpack::object& operator()(const msgpack::object& object, dewweir::wire::Role& value) const {
            dewweir::wire::read_enum(object, value, dewweir::wire::Role::control_plane);
            return object;
        }
    };

    template <> struct convert<dewweir::wire::InstanceState> {
        const msgpack::object& operator()(const msgpack::object& object,
                                          dewweir::wire::InstanceState& value) const {
            dewweir::wire::read_enum(object, value, dewweir::wire::InstanceState::draining);
            return object;
        }
    };

    template <> struct pack<dewweir::wire::Role> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& packer, dewweir::wire::Role value) const {
            return packer.pack(static_cast<std::uint8_t>(value));
        }
    };

    template <> struct pack<dewweir::wire::InstanceState> {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& packer, dewweir::wire::InstanceState value) const {
            return packer.pack(static_cast<std::uint8_t>(value));
        }
    };

    }  // namespace adaptor
}
}  // namespace msgpack
