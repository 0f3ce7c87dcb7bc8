#include "capacity_world/session_bytes.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace dewweir::capacity_world {
namespace {

constexpr int first_descriptor = 3;
constexpr int most_descriptors = 8192;

}  // namespace

SessionBytes count_session_bytes() {
    SessionBytes counts;
    for (int descriptor = first_descriptor; descriptor < most_descriptors; ++descriptor) {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) continue;
        ++counts.connections;
        counts.bytes_in += info.tcpi_bytes_received;
        counts.bytes_out += info.tcpi_bytes_acked;
        counts.segments_in += info.tcpi_segs_in;
        counts.segments_out += info.tcpi_segs_out;
    }
    return counts;
}

}  // namespace dewweir::capacity_world
