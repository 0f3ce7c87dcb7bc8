// How a host behaves: cores that work through a line, warming after a start, falling over when it is pushed
// while cold. Owns the pieces it has taken. It must never read a clock or touch a socket: whoever drives it
// hands in the moment and asks when something ends next, in virtual time or in real.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::model {

struct HostTraits {
    int cores = 3;          // from 1
    double speed = 1;       // of a core; over 0
    Time work = 1000;       // mean of a piece on a core of speed 1, tenths of a millisecond; 0: none
    double scatter = 0.8;   // its standard deviation as a part of the mean, lognormal; 0: always the mean
    std::size_t line = 60;  // pieces that may wait; more are turned away unseen
    std::size_t connections = 400;
    Time handshake = 5;        // of a core, for each new connection
    double cold_from = 0.3;    // part of its speed right after a start, 0 to 1
    Time warms_in = 80000;     // rising evenly to all of it
    double fall_multiple = 3;  // sent more than this times what it can do at the moment ...
    Time fall = 20000;         // ... over this long while it warms, it falls over
};

// What goes wrong with it, until it is told otherwise.
struct HostTroubles {
    double slow = 1;                          // times the work
    double errors = 0, spoilt = 0, mute = 0;  // parts of the pieces: fail, answer noise, never answer
};

enum class Reply { delivered, error, spoilt, none };

struct Finished {
    std::uint64_t piece;
    Reply reply;
};

class Host {
  public:
    // Throws errors::BadCall naming the trait that is out of range.
    Host(const HostTraits& traits, std::uint64_t seed);

    // A fresh process: cold unless it started long ago (`cold` false), with nothing in hand.
    void start(Time now, bool cold);
    void die();
    bool up() const { return up_; }
    bool fallen() const { return fallen_; }  // over, since its last start
    HostTroubles& troubles() { return troubles_; }

    // False when it is turned away: the line is full, or the host is down.
    bool take(Time now, std::uint64_t piece);
    void connected(Time now);  // a new connection's work; it comes before what waits
    // When the next piece ends; -1 when none will.
    Time due() const;
    // Those that have ended by now, in the order of their ends; at one moment in that of their beginning.
    std::vector<Finished> ended(Time now);

    double warmth(Time now) const;  // part of its speed, 0 to 1
    std::size_t in_hand() const { return running_.size() + waiting_.size() + muted_; }

  private:
    struct Piece {
        std::uint64_t number;
        double work;
        Reply reply;
    };
    void begin(Time now, const Piece& piece);
    void fill(Time now);

    HostTraits traits_;
    HostTroubles troubles_;
    boost::random::mt19937 chance_;
    bool up_ = false, fallen_ = false;
    Time started_ = 0;
    std::size_t muted_ = 0;
    std::uint64_t last_ = 0;
    double owed_ = 0;  // work of handshakes, done by the next piece that begins
    std::deque<Piece> waiting_;
    std::map<std::pair<Time, std::uint64_t>, Piece> running_;  // by their ends, then by their beginning
    std::deque<Time> sent_;  // while it warms: what came within the last `fall`
};

}  // namespace dewweir::model
