// Checksum by which the receiver of a snapshot verifies the chunks it has joined.
#pragma once

#include <cstdint>
#include <string_view>

namespace dewweir::consensus {

// XXH3, 64 bits.
std::uint64_t snapshot_checksum(std::string_view data);

}  // namespace dewweir::consensus
