#include "datagram_link.h"

#include <asio/buffer.hpp>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace dewweir::rig {
namespace {

constexpr Time most_behind = 500;  // one that is to be overtaken comes so much later, with no jitter to go by

udp::socket on_loopback(Loop& loop) {
    udp::socket socket(loop.io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
    socket.non_blocking(true);
    return socket;
}

}  // namespace

DatagramLink::DatagramLink(Loop& loop, std::string name, std::uint64_t seed)
    : loop_(loop),
      name_(std::move(name)),
      chance_(static_cast<std::uint32_t>(seed)),
      near_{on_loopback(loop), on_loopback(loop)} {
    listen(0);
    listen(1);
}

DatagramLink::~DatagramLink() { *there_ = false; }

void DatagramLink::listen(std::size_t end) {
    near_[end].async_receive_from(asio::buffer(buffers_[end]), from_[end],
                                  [this, end, there = there_](const std::error_code& fault, std::size_t n) {
                                      if (!*there || fault == asio::error::operation_aborted) return;
                                      loop_.deadlines.update_now();
                                      // Only the end it stands before is carried on; a stranger's is no
                                      // traffic of this link.
                                      if (!fault && from_[end] == ends_[end])
                                          came(end, std::string(buffers_[end].data(), n));
                                      listen(end);
                                  });
}

void DatagramLink::came(std::size_t end, const std::string& bytes) {
    const auto drawn = [&](double part) {
        return part > 0 && boost::random::bernoulli_distribution<>(part)(chance_);
    };
    if (end == 0 ? faults.silent_there : faults.silent_back) return ++counts_.silenced, void();
    if (drawn(faults.loss)) return ++counts_.lost, void();
    const int copies = drawn(faults.duplicates) ? 2 : 1;
    counts_.doubled += copies == 2;
    for (int n = 0; n < copies; ++n) {
        Time after = faults.delay;
        if (faults.jitter > 0)
            after += boost::random::uniform_int_distribution<Time>(0, faults.jitter)(chance_);
        if (drawn(faults.reordered)) {
            ++counts_.reordered;
            after += std::max(most_behind, faults.jitter) + n;
        }
        counts_.late += after > 0;
        send(1 - end, bytes, after);
    }
}

void DatagramLink::send(std::size_t end, const std::string& bytes, Time after) {
    const auto now = [this, end, bytes] {
        std::error_code full;  // a datagram may be lost, here as anywhere
        near_[end].send_to(asio::buffer(bytes), ends_[end], 0, full);
        if (full) ++counts_.lost;
        else ++(end == 1 ? counts_.there : counts_.back);
    };
    if (after <= 0) return now();
    loop_.deadlines.after(after, [there = there_, now] {
        if (*there) now();
    });
}

}  // namespace dewweir::rig
