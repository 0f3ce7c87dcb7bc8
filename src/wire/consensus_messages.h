// Encoding of the consensus package's messages, which know nothing of msgpack themselves.
#pragma once

#include <chrono>
#include <msgpack.hpp>

#include "consensus/messages.h"

// Teaches msgpack a plain struct: its fields as an array, `value` standing for the struct.
#define DEWWEIR_WIRE_STRUCT(TYPE, ...)                                                                       \
    template <> struct convert<TYPE> {                                                                       \
        const msgpack::object& operator()(const msgpack::object& object, TYPE& value) const {                \
            msgpack::type::make_define_array(__VA_ARGS__).msgpack_unpack(object);                            \
            return object;                                                                                   \
        }                                                                                                    \
    };                                                                                                       \
    template <> struct pack<TYPE> {                                                                          \
        template <typename Stream> packer<Stream>& operator()(packer<Stream>& to, const TYPE& value) const { \
            msgpack::type::make_define_array(__VA_ARGS__).msgpack_pack(to);                                  \
            return to;                                                                                       \
        }                                                                                                    \
    };

MSGPACK_ADD_ENUM(dewweir::consensus::EntryKind);

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    template <> struct convert<std::chrono::microseconds> {
        const msgpack::object& operator()(const msgpack::object& object,
                                          std::chrono::microseconds& value) const {
            value = std::chrono::microseconds(object.as<std::int64_t>());
            return object;
        }
    };
    template <> struct pack<std::chrono::microseconds> {
        template <typename Stream>
        packer<Stream>& operator()(packer<Stream>& to, const std::chrono::microseconds& value) const {
            return to.pack(static_cast<std::int64_t>(value.count()));
        }
    };

    DEWWEIR_WIRE_STRUCT(dewweir::consensus::Replica, value.id, value.address)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::Membership, value.voters, value.learners, value.outgoing,
                        value.target_voter_count)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::Entry, value.term, value.index, value.kind, value.payload,
                        value.membership)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::PreVoteRequest, value.term, value.campaign_term, value.last_index,
                        value.last_term)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::PreVoteResponse, value.term, value.campaign_term, value.granted)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::VoteRequest, value.term, value.last_index, value.last_term,
                        value.leadership_transfer)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::VoteResponse, value.term, value.granted)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::AppendRequest, value.term, value.previous_index,
                        value.previous_term, value.commit, value.entries)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::AppendResponse, value.term, value.accepted, value.index,
                        value.previous_index)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::HeartbeatRequest, value.term, value.round, value.commit,
                        value.max_round_trip)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::HeartbeatResponse, value.term, value.round, value.received,
                        value.synced)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::SnapshotChunk, value.term, value.index, value.snapshot_term,
                        value.membership, value.offset, value.data, value.last, value.checksum)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::SnapshotChunkResponse, value.term, value.index,
                        value.received_bytes)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::TimeoutNow, value.term)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::ReadIndexRequest, value.term, value.token)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::ReadIndexResponse, value.term, value.token, value.index)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::LeaveRequest, value.term, value.life)
    DEWWEIR_WIRE_STRUCT(dewweir::consensus::LeaveResponse, value.term, value.permitted, value.life)

    }  // namespace adaptor
}
}  // namespace msgpack
