// How long news takes to be everywhere, derived from the terms: what `dewweir explain-bounds` prints and what
// tests hold measured figures against. Pure.
#pragma once

#include "members/members.h"

namespace dewweir::members {

struct Network {
    std::size_t members = 24;
    double loss = 0;  // of datagrams, from 0 to under 1
    Time delay = 10;  // of one, at the most
};

// Rounds of gossip until all have heard, with at least that probability: the chain of how many have, each
// round's new ones binomial, everybody who has heard passing it on to `fan_out` others by chance.
int rounds_until_all(const MembersTerms& terms, const Network& network, double probability);
// For how many rounds each passes it on.
int rounds_passed_on(const MembersTerms& terms, std::size_t members);

struct Bounds {
    int rounds = 0;
    Time spread = 0;        // from the moment it is told at one until all reachable have it
    bool by_gossip = true;  // false: it needs the asking for whole lists, as long as that takes
    Time suspected = 0;     // from a member's death until the first suspicion, at that probability
    Time dead = 0;          // until all hold it for dead
    double bytes_a_second = 0, packets_a_second = 0;  // sent by a member, at the most
};
Bounds bounds_of(const MembersTerms& terms, const Network& network, double probability);

}  // namespace dewweir::members
