#include "consensus/snapshot_checksum.h"

#include <xxhash.h>

namespace dewweir::consensus {

std::uint64_t snapshot_checksum(std::string_view data) { return XXH3_64bits(data.data(), data.size()); }

}  // namespace dewweir::consensus
