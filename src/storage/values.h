// The form of stored values: one byte of format version, 8 bytes of checksum (XXH3 of 64 bits over key,
// version and body, lowest byte first), then the body in msgpack or, for a chunk of a snapshot, its bytes as
// they are. The key is in the checksum so that a value found under another key is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/types.h"

namespace dewweir::storage {

inline constexpr std::uint8_t format_version = 1;
inline constexpr std::size_t seal_bytes = 9;  // version and checksum

enum class ValueFault {
    corrupt,               // cut short, altered, or of another key
    incompatible_version,  // whole, but written in another format
};

// A snapshot but for its data.
struct SnapshotHeader {
    consensus::Index index = 0;
    consensus::Term term = 0;
    consensus::Membership membership;
    std::uint64_t generation = 0;  // of its chunks
    std::uint64_t chunks = 0;
    std::uint64_t bytes = 0;  // of its data
};

// The value to store under `key`. `version` is another one in tests alone.
std::string seal(std::string_view key, std::string_view body, std::uint8_t version = format_version);
// The body, which points into `value`.
std::variant<std::string_view, ValueFault> unseal(std::string_view key, std::string_view value);

std::string encode(const consensus::Replica& replica);
std::string encode(const consensus::HardState& state);
std::string encode(const consensus::Entry& entry);
std::string encode(const SnapshotHeader& header);

// Each gives nothing where the body is not one of its kind.
std::optional<consensus::Replica> decode_replica(std::string_view body);
std::optional<consensus::HardState> decode_hard_state(std::string_view body);
std::optional<consensus::Entry> decode_entry(std::string_view body);
std::optional<SnapshotHeader> decode_snapshot_header(std::string_view body);

}  // namespace dewweir::storage
