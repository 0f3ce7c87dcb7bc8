// How long information takes to reach the whole fleet, derived from the membership options: printed by
// `dewweir explain-bounds`, and compared with measured times by the tests. Pure.
#pragma once

#include "members/members.h"

namespace dewweir::members {

struct Network {
    std::size_t members = 24;
    double loss = 0;  // fraction of datagrams lost, in [0, 1)
    Time delay = 10;  // upper bound of a datagram's delay
};

// Rounds of gossip until all members have an update with at least the given probability. Computed from a
// Markov chain over the number of informed members: the newly informed of each round are binomial, and each
// informed member sends to `fan_out` random others.
int rounds_until_all(const MembersOptions& options, const Network& network, double probability);
// For how many rounds each member passes an update on.
int rounds_passed_on(const MembersOptions& options, std::size_t members);

struct Bounds {
    int rounds = 0;         // of gossip, to inform all
    Time spread = 0;        // from publication by one member until all reachable ones have it
    bool by_gossip = true;  // false: gossip ends too early, and periodic full lists are needed as well
    Time suspected = 0;     // from a member's death until the first suspicion, at the given probability
    Time dead = 0;          // from a member's death until all members consider it dead
    // Upper bounds of what one member sends.
    double bytes_a_second = 0;
    double packets_a_second = 0;
};
Bounds bounds_of(const MembersOptions& options, const Network& network, double probability);

}  // namespace dewweir::members
