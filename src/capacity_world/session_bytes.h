// What the kernel has counted on this process's TCP connections: payload bytes and segments, both ways.
#pragma once

#include <cstdint>

namespace dewweir::capacity_world {

struct SessionBytes {
    std::uint64_t connections = 0;  // that stand now; what closed ones carried is not counted
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;  // acknowledged by the peer
    std::uint64_t segments_in = 0;
    std::uint64_t segments_out = 0;
};

SessionBytes count_session_bytes();

}  // namespace dewweir::capacity_world
