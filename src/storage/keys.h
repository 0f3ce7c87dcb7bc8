// The names of what a replica's store holds. Numbers are written with 20 decimal digits, so that LevelDB's
// order of bytes is the order of numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/types.h"

namespace dewweir::storage::keys {

inline constexpr std::string_view self = "self";
inline constexpr std::string_view hard_state = "hard_state";
inline constexpr std::string_view snapshot = "snapshot";  // its header; the data is in chunks
inline constexpr std::string_view chunk_prefix = "chunk/";
inline constexpr std::string_view entry_prefix = "entry/";
inline constexpr std::string_view write_prefix = "write/";

std::string entry(consensus::Index index);
// `generation` tells the chunks of one snapshot from those of all others, also from one at the same index.
std::string chunk(std::uint64_t generation, std::uint64_t number);
std::string chunks_of(std::uint64_t generation);  // what all chunks of one snapshot begin with
// Left by the write of this number; see replica_store.h.
std::string write_marker(std::uint64_t number);

// The number in `key` after `prefix`; nothing where the key is of another form.
std::optional<std::uint64_t> number_after(std::string_view prefix, std::string_view key);

}  // namespace dewweir::storage::keys
