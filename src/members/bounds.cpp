#include "bounds.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "members/envelope.h"

namespace dewweir::members {
namespace {

constexpr int most_rounds = 1000;
constexpr double nothing = 1e-12;
constexpr double tenths_a_second = 10000;

double binomial(std::size_t n, std::size_t k, double p) {
    if (p <= 0) return k == 0 ? 1 : 0;
    if (p >= 1) return k == n ? 1 : 0;
    const auto of = [](std::size_t x) { return std::lgamma(static_cast<double>(x) + 1); };
    return std::exp(of(n) - of(k) - of(n - k) + static_cast<double>(k) * std::log(p) +
                    static_cast<double>(n - k) * std::log1p(-p));
}

}  // namespace

int rounds_passed_on(const MembersTerms& terms, std::size_t members) {
    // A datagram is one telling, and `fan_out` of them make a round.
    const double told = terms.rounds * std::ceil(std::log2(static_cast<double>(members) + 1));
    return std::max(1, static_cast<int>(told / terms.fan_out));
}

int rounds_until_all(const MembersTerms& terms, const Network& network, double probability) {
    const std::size_t n = network.members;
    if (n < 2) return 0;
    const auto others = static_cast<double>(n - 1);
    // That one that has heard reaches a given other one in a round.
    const double reach = std::min(1.0, terms.fan_out / others) * (1 - network.loss);
    std::vector<double> heard(n + 1, 0);
    heard[1] = 1;
    for (int round = 1; round <= most_rounds; ++round) {
        std::vector<double> next(n + 1, 0);
        for (std::size_t k = 1; k <= n; ++k) {
            if (heard[k] < nothing) continue;
            const double hit = 1 - std::pow(1 - reach, static_cast<double>(k));
            for (std::size_t more = 0; more <= n - k; ++more)
                next[k + more] += heard[k] * binomial(n - k, more, hit);
        }
        heard = std::move(next);
        if (heard[n] >= probability) return round;
    }
    return most_rounds;
}

Bounds bounds_of(const MembersTerms& terms, const Network& network, double probability) {
    Bounds bounds;
    const std::size_t n = network.members;
    bounds.rounds = rounds_until_all(terms, network, probability);
    const Time round = terms.gossip + network.delay;
    bounds.by_gossip = bounds.rounds <= rounds_passed_on(terms, n);
    // A round begins up to its length after the news. What gossip misses, a whole list brings: each member
    // asks one by chance in every `ask_all`, so that a second asking finds one that has it.
    bounds.spread = bounds.rounds * round + (bounds.by_gossip ? 0 : 2 * terms.ask_all);
    // A round of probes is shuffled anew by each: one that is dead is probed by a given other one within two
    // of them for certain, and by none of `n - 1` in a period with (1 - 1/(n-1))^(n-1).
    const double missed =
        n > 2 ? std::pow(1 - 1.0 / static_cast<double>(n - 1), static_cast<double>(n - 1)) : 0;
    const double periods = missed > 0 ? std::min(std::ceil(std::log(1 - probability) / std::log(missed)),
                                                 2.0 * static_cast<double>(n))
                                      : 1;
    bounds.suspected = static_cast<Time>((periods + 1) * static_cast<double>(terms.period));
    const double least = terms.alpha * std::max(1.0, std::log10(static_cast<double>(n)));
    bounds.dead = bounds.suspected + bounds.spread +
                  static_cast<Time>(terms.beta * least * static_cast<double>(terms.period));
    // A probe and its answer either way, a helper's both ways, gossip each round, a list asked and told.
    const double periods_a_second = tenths_a_second / static_cast<double>(terms.period);
    const double gossips = terms.fan_out * tenths_a_second / static_cast<double>(terms.gossip);
    const double lists = 4 * tenths_a_second / static_cast<double>(terms.ask_all / 2);
    bounds.packets_a_second = periods_a_second * (2 + 4 * terms.helpers) + gossips + lists;
    bounds.bytes_a_second = bounds.packets_a_second * static_cast<double>(most_bytes);
    return bounds;
}

}  // namespace dewweir::members
