// Format of stored values: one byte of format version, an 8-byte checksum (XXH3, 64 bits, over key, version
// and body, lowest byte first), then the body. The body is msgpack, or the raw bytes of a snapshot's chunk.
// The checksum includes the key so that a value stored under another key is detected.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/types.h"

namespace dewweir::storage {

inline constexpr std::uint8_t format_version = 1;
inline constexpr std::size_t value_header_bytes = 9;  // format version and checksum

enum class ValueFault {
    corrupt,               // truncated, altered, or stored under another key
    incompatible_version,  // intact, but in another format version
};

// A snapshot without its data, which is stored in chunks.
struct SnapshotHeader {
    consensus::Index index = 0;
    consensus::Term term = 0;
    consensus::Membership membership;
    std::uint64_t generation = 0;  // part of the keys of its chunks
    std::uint64_t chunks = 0;      // number of chunks
    std::uint64_t bytes = 0;       // total size of the chunks' bodies
};

// Adds version and checksum to `body`; the result is the value to store under `key`. Only tests pass another
// `version`.
std::string frame_value(std::string_view key, std::string_view body, std::uint8_t version = format_version);
// Verifies `value` and returns its body, a view into `value`.
std::variant<std::string_view, ValueFault> unframe_value(std::string_view key, std::string_view value);

std::string encode(const consensus::Replica& replica);
std::string encode(const consensus::HardState& state);
std::string encode(const consensus::Entry& entry);
std::string encode(const SnapshotHeader& header);

// Each returns none if the body does not contain a value of its type.
std::optional<consensus::Replica> decode_replica(std::string_view body);
std::optional<consensus::HardState> decode_hard_state(std::string_view body);
std::optional<consensus::Entry> decode_entry(std::string_view body);
std::optional<SnapshotHeader> decode_snapshot_header(std::string_view body);

}  // namespace dewweir::storage
