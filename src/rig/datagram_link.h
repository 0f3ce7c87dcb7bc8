// A link for datagrams between two ends on loopback, with faults. It stands for each end towards the other:
// `a` sends to `near_a`, and what comes out at `b` comes from `near_b`, the address by which `b` knows `a`.
// Owns both sockets and every datagram on its way; it must never change one.
#pragma once

#include <array>
#include <asio/ip/udp.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <string>

#include "link.h"

namespace dewweir::rig {

using asio::ip::udp;

struct DatagramFaults {
    bool silent_there = false, silent_back = false;
    double loss = 0, duplicates = 0, reordered = 0;  // parts of all, from 0 to 1
    Time delay = 0, jitter = 0;
};

struct DatagramCounts {
    std::uint64_t there = 0, back = 0;  // handed on
    std::uint64_t lost = 0, doubled = 0, reordered = 0, silenced = 0, late = 0;
};

class DatagramLink {
  public:
    DatagramLink(Loop& loop, std::string name, std::uint64_t seed);
    ~DatagramLink();
    DatagramLink(const DatagramLink&) = delete;

    // Where the ends really are; nothing passes before both are known.
    void join(const udp::endpoint& a, const udp::endpoint& b) { ends_ = {a, b}; }
    const std::string& name() const { return name_; }
    udp::endpoint near_a() const { return near_[0].local_endpoint(); }
    udp::endpoint near_b() const { return near_[1].local_endpoint(); }

    DatagramFaults faults;
    const DatagramCounts& counts() const { return counts_; }

  private:
    void listen(std::size_t end);
    void came(std::size_t end, const std::string& bytes);
    void send(std::size_t end, const std::string& bytes, Time after);

    Loop& loop_;
    std::string name_;
    boost::random::mt19937 chance_;
    std::array<udp::socket, 2> near_;
    std::array<udp::endpoint, 2> ends_{};
    std::array<std::array<char, 65536>, 2> buffers_;
    std::array<udp::endpoint, 2> from_;
    DatagramCounts counts_;
    std::shared_ptr<bool> there_ = std::make_shared<bool>(true);  // what is on its way outlives the link
};

}  // namespace dewweir::rig
