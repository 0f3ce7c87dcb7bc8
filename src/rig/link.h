// A link with faults between two ends on loopback, as a relay: whoever connects here is carried on to the
// other end, and what the script says befalls the bytes on their way. Owns its door and both connections of
// each pair, and counts what it did. It must never change a byte, nor pass two bytes of one direction out of
// their order.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <string>
#include <vector>

#include "loop.h"
#include "net/slots.h"
#include "script.h"

namespace dewweir::rig {

struct LinkFaults {
    bool refused = false;                            // cut with resets
    bool silent_there = false, silent_back = false;  // cut in silence: nothing passes, nor a new connection
    Time delay = 0, jitter = 0;                      // each way; jitter 0 to that much more
    double bytes_a_second = 0;                       // each way of each connection; 0: as they come
};

struct LinkCounts {
    std::uint64_t connections = 0, there = 0, back = 0;  // bytes carried
    std::uint64_t refused = 0, reset = 0, broken = 0;    // connections
    std::uint64_t held = 0, late = 0, dropped = 0;  // pieces held by silence, delayed; bytes never carried

    LinkCounts& operator+=(const LinkCounts& more);
};

class Link : net::ConnectionHandler {
  public:
    Link(Loop& loop, std::string name, const tcp::endpoint& to, std::uint64_t seed);
    ~Link() override;
    Link(const Link&) = delete;

    const std::string& name() const { return name_; }
    const tcp::endpoint& address() const { return door_.address(); }
    const LinkFaults& faults() const { return faults_; }
    const LinkCounts& counts() const { return counts_; }
    // Whether the far end refused anybody from then to then.
    bool refused_between(Time from, Time to) const;
    bool passes() const { return !faults_.refused && !faults_.silent_there && !faults_.silent_back; }

    void cut(bool on);               // resets what stands and refuses what comes
    void silence(Way way, bool on);  // what stands is held; who connects hears nothing
    void delay(Time delay, Time jitter);
    void throttle(double bytes_a_second);
    // Each connection, those that stand too, after so many bytes more, both ways together; under 0: no
    // longer.
    void break_after(std::int64_t bytes);

  private:
    struct Piece {
        Time due;
        std::string bytes;
    };
    struct End {
        net::Handle connection = 0;
        std::deque<Piece> queue{};  // on their way to this end
        Time last_due = 0;
        bool over = false;  // the other end has closed: this one is, after what is still on its way
        net::Deadlines::Key next{};
    };
    struct Pair {
        End client, server;
        std::int64_t left = -1;  // bytes until it breaks; under 0: it does not
    };

    // The mark of a connection is its pair's handle; which of the two it is, is looked up.
    void welcome(tcp::socket socket);
    void opened(net::Handle, std::uint32_t mark, bool up) override;
    void received(net::Handle connection, std::uint32_t mark) override;
    void ended(net::Handle connection, std::uint32_t mark) override;
    void pass(std::uint32_t mark, bool there);
    bool silent(bool there) const { return there ? faults_.silent_there : faults_.silent_back; }
    void give_back(std::uint32_t mark, bool reset);
    void each_pair(const std::function<void(std::uint32_t, Pair&)>& visit);

    Loop& loop_;
    std::string name_;
    tcp::endpoint to_;
    boost::random::mt19937 chance_;
    LinkFaults faults_;
    LinkCounts counts_;
    std::int64_t break_after_ = -1;
    std::vector<Time> refused_at_;
    net::Slots<Pair> pairs_;
    Door door_;
};

}  // namespace dewweir::rig
