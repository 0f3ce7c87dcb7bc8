// How a discovery service bears calls: each takes its turn, one after the other, and those it comes to too
// late are refused and have cost their turn all the same. Owns the line of calls. It must never read a clock
// or touch a socket.
#pragma once

#include "dewweir/decisions.h"

namespace dewweir::model {

struct ListTraits {
    Time each = 500;        // a call's turn, from 1, tenths of a millisecond
    Time patience = 20000;  // one that has waited so long is refused, from 1
    int line = 1000;        // calls that may wait; more are refused at once
};

class List {
  public:
    // Throws errors::BadCall naming the trait that is out of range.
    explicit List(const ListTraits& traits);

    struct Answer {
        Time at;      // when it is due
        bool served;  // else refused
    };
    Answer call(Time now, double slow = 1);  // `slow`: times a turn

  private:
    ListTraits traits_;
    Time free_ = 0;  // when it is through with what waits
};

}  // namespace dewweir::model
