// How a counter service behaves: names with a life, spread over parts that each serve calls in turn, late
// when crowded, turning calls away when a line is long. Owns the names. It must never read a clock or touch a
// socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::model {

struct CounterTraits {
    std::size_t parts = 2;  // from 1; a name is always on the same one
    Time each = 10;         // a call's turn, tenths of a millisecond; 0: no time at all
    std::size_t line = 64;  // calls that may wait at a part; more are turned away
};

class Counter {
  public:
    static constexpr Time longest_life = 600000;

    // Throws errors::BadCall naming the trait that is out of range.
    explicit Counter(const CounterTraits& traits);

    double slow = 1;      // times a call's turn
    bool silent = false;  // calls are added, and never answered
    void empty() { names_.clear(); }
    // How many parts of all answer nothing: the first ones.
    std::size_t silent_parts = 0;

    struct Answer {
        Time at;  // when it is due; -1: never
        AttemptOutcome outcome;
        double total;
    };
    // Adds and reads in one step. `life` counts for a new name only, and is cut to the longest.
    Answer call(Time now, const std::string& name, double amount, Time life);
    std::size_t names() const { return names_.size(); }

  private:
    struct Name {
        double total;
        Time until;
    };
    void forget(Time now);

    CounterTraits traits_;
    std::unordered_map<std::string, Name> names_;
    std::vector<Time> free_;  // when each part is through with what waits there
    Time forgot_ = 0;
};

}  // namespace dewweir::model
