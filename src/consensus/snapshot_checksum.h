// What a receiver of a snapshot checks the joined parts by.
#pragma once

#include <cstdint>
#include <string_view>

namespace dewweir::consensus {

std::uint64_t snapshot_checksum(std::string_view data);

}  // namespace dewweir::consensus
