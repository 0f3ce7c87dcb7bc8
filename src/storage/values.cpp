#include "storage/values.h"

#include <xxhash.h>

#include <msgpack.hpp>

namespace dewweir::storage {

namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::HardState;
using consensus::Membership;
using consensus::Replica;
using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::size_t checksum_bytes = 8;
constexpr unsigned bits_per_byte = 8;
constexpr std::uint32_t membership_fields = 4;
// Stored by versions without joint consensus: voters and learners only.
constexpr std::uint32_t legacy_membership_fields = 2;

std::string checksum(std::string_view key, std::uint8_t version, std::string_view body) {
    // The length of the key separates it from the version and the body.
    std::string prefix = std::to_string(key.size()) + ":";
    prefix += key;
    prefix += static_cast<char>(version);
    const XXH64_hash_t seed = XXH3_64bits(prefix.data(), prefix.size());
    XXH64_hash_t hash = XXH3_64bits_withSeed(body.data(), body.size(), seed);
    std::string bytes;
    for (std::size_t i = 0; i < checksum_bytes; ++i) {
        bytes += static_cast<char>(hash & 0xff);
        hash >>= bits_per_byte;
    }
    return bytes;
}

void pack(Packer& packer, const Replica& replica) {
    packer.pack_array(2);
    packer.pack(replica.id);
    packer.pack(replica.address);
}

void pack(Packer& packer, const std::vector<Replica>& replicas) {
    packer.pack_array(static_cast<std::uint32_t>(replicas.size()));
    for (const Replica& replica : replicas) pack(packer, replica);
}

void pack(Packer& packer, const Membership& membership) {
    packer.pack_array(membership_fields);
    pack(packer, membership.voters);
    pack(packer, membership.learners);
    pack(packer, membership.outgoing);
    packer.pack(membership.target_voter_count);
}

std::string to_string(const msgpack::sbuffer& buffer) { return std::string(buffer.data(), buffer.size()); }

// The elements of a msgpack array of exactly `count` elements; throws msgpack::type_error for any other
// object.
const msgpack::object* array_fields(const msgpack::object& object, std::uint32_t count) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != count) throw msgpack::type_error();
    return object.via.array.ptr;
}

Replica replica_from(const msgpack::object& object) {
    const msgpack::object* field = array_fields(object, 2);
    return Replica{field[0].as<consensus::ReplicaId>(), field[1].as<std::string>()};
}

std::vector<Replica> replicas_from(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY) throw msgpack::type_error();
    std::vector<Replica> replicas;
    for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
        replicas.push_back(replica_from(object.via.array.ptr[i]));
    }
    return replicas;
}

Membership membership_from(const msgpack::object& object) {
    const bool legacy =
        object.type == msgpack::type::ARRAY && object.via.array.size == legacy_membership_fields;
    const msgpack::object* field =
        array_fields(object, legacy ? legacy_membership_fields : membership_fields);
    Membership membership{replicas_from(field[0]), replicas_from(field[1])};
    if (legacy) return membership;
    membership.outgoing = replicas_from(field[2]);
    membership.target_voter_count = field[3].as<std::uint32_t>();
    return membership;
}

EntryKind kind_from(const msgpack::object& object) {
    const auto number = object.as<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(EntryKind::membership)) throw msgpack::type_error();
    return static_cast<EntryKind>(number);
}

// Applies `read` to the only msgpack object in `body`; none if `body` is not exactly one object or `read`
// throws msgpack::type_error.
template <typename Read>
auto decode_object(std::string_view body, Read read) -> std::optional<decltype(read(msgpack::object()))> {
    try {
        std::size_t offset = 0;
        // Each element takes at least one byte, so the limits prevent allocations beyond the size of the
        // body.
        const msgpack::unpack_limit limit(body.size(), body.size(), body.size(), body.size(), body.size());
        const msgpack::object_handle handle =
            msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        if (offset != body.size()) return std::nullopt;
        return read(handle.get());
    } catch (const msgpack::unpack_error&) { return std::nullopt; } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

}  // namespace

std::string frame_value(std::string_view key, std::string_view body, std::uint8_t version) {
    std::string value;
    value.reserve(value_header_bytes + body.size());
    value += static_cast<char>(version);
    value += checksum(key, version, body);
    value += body;
    return value;
}

std::variant<std::string_view, ValueFault> unframe_value(std::string_view key, std::string_view value) {
    if (value.size() < value_header_bytes) return ValueFault::corrupt;
    const auto version = static_cast<std::uint8_t>(value[0]);
    const std::string_view body = value.substr(value_header_bytes);
    if (value.substr(1, checksum_bytes) != checksum(key, version, body)) return ValueFault::corrupt;
    if (version != format_version) return ValueFault::incompatible_version;
    return body;
}

std::string encode(const Replica& replica) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    pack(packer, replica);
    return to_string(buffer);
}

std::string encode(const HardState& state) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(3);
    packer.pack(state.term);
    packer.pack(state.vote);
    packer.pack(state.commit);
    return to_string(buffer);
}

std::string encode(const Entry& entry) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(5);
    packer.pack(entry.term);
    packer.pack(entry.index);
    packer.pack(static_cast<std::uint8_t>(entry.kind));
    packer.pack(entry.payload);
    pack(packer, entry.membership);
    return to_string(buffer);
}

std::string encode(const SnapshotHeader& header) {
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(6);
    packer.pack(header.index);
    packer.pack(header.term);
    pack(packer, header.membership);
    packer.pack(header.generation);
    packer.pack(header.chunks);
    packer.pack(header.bytes);
    return to_string(buffer);
}

std::optional<Replica> decode_replica(std::string_view body) { return decode_object(body, replica_from); }

std::optional<HardState> decode_hard_state(std::string_view body) {
    return decode_object(body, [](const msgpack::object& object) {
        const msgpack::object* field = array_fields(object, 3);
        HardState state;
        state.term = field[0].as<consensus::Term>();
        state.vote = field[1].as<consensus::ReplicaId>();
        state.commit = field[2].as<consensus::Index>();
        return state;
    });
}

std::optional<Entry> decode_entry(std::string_view body) {
    return decode_object(body, [](const msgpack::object& object) {
        const msgpack::object* field = array_fields(object, 5);
        Entry entry;
        entry.term = field[0].as<consensus::Term>();
        entry.index = field[1].as<consensus::Index>();
        entry.kind = kind_from(field[2]);
        entry.payload = field[3].as<std::string>();
        entry.membership = membership_from(field[4]);
        return entry;
    });
}

std::optional<SnapshotHeader> decode_snapshot_header(std::string_view body) {
    return decode_object(body, [](const msgpack::object& object) {
        const msgpack::object* field = array_fields(object, 6);
        SnapshotHeader header;
        header.index = field[0].as<consensus::Index>();
        header.term = field[1].as<consensus::Term>();
        header.membership = membership_from(field[2]);
        header.generation = field[3].as<std::uint64_t>();
        header.chunks = field[4].as<std::uint64_t>();
        header.bytes = field[5].as<std::uint64_t>();
        return header;
    });
}

}  // namespace dewweir::storage
