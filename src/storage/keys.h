// Keys of a replica's store. Numbers are written with 20 decimal digits, so that LevelDB's bytewise order is
// the numeric order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/types.h"

namespace dewweir::storage::keys {

inline constexpr std::string_view self = "self";
inline constexpr std::string_view hard_state = "hard_state";
inline constexpr std::string_view snapshot = "snapshot";  // the header; the data is in chunks
inline constexpr std::string_view chunk_prefix = "chunk/";
inline constexpr std::string_view entry_prefix = "entry/";
inline constexpr std::string_view write_prefix = "write/";

std::string entry(consensus::Index index);
// `generation` distinguishes the chunks of one snapshot from those of every other one, even at the same
// index.
std::string chunk(std::uint64_t generation, std::uint64_t number);
// The prefix of all chunk keys of one snapshot.
std::string generation_prefix(std::uint64_t generation);
// The marker stored by the write with this number; see replica_store.h.
std::string write_marker(std::uint64_t number);

// The number in `key` after `prefix`; none if the key has another form.
std::optional<std::uint64_t> number_after(std::string_view prefix, std::string_view key);

}  // namespace dewweir::storage::keys
