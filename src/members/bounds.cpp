#include "bounds.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "members/envelope.h"

namespace dewweir::members {
namespace {

constexpr int max_rounds = 1000;
constexpr double negligible = 1e-12;  // probability
constexpr double tenths_a_second = 10000;

double binomial(std::size_t n, std::size_t k, double p) {
    if (p <= 0) return k == 0 ? 1 : 0;
    if (p >= 1) return k == n ? 1 : 0;
    const auto log_factorial = [](std::size_t x) { return std::lgamma(static_cast<double>(x) + 1); };
    return std::exp(log_factorial(n) - log_factorial(k) - log_factorial(n - k) +
                    static_cast<double>(k) * std::log(p) + static_cast<double>(n - k) * std::log1p(-p));
}

}  // namespace

int rounds_passed_on(const MembersOptions& options, std::size_t members) {
    // Each datagram counts as one send, and a round sends `fan_out` of them.
    const double sends = options.retransmit_factor * std::ceil(std::log2(static_cast<double>(members) + 1));
    return std::max(1, static_cast<int>(sends / options.fan_out));
}

int rounds_until_all(const MembersOptions& options, const Network& network, double probability) {
    const std::size_t n = network.members;
    if (n < 2) return 0;
    const auto others = static_cast<double>(n - 1);
    // Probability that one informed member reaches a given other one in a round.
    const double reach = std::min(1.0, options.fan_out / others) * (1 - network.loss);
    std::vector<double> informed(n + 1, 0);
    informed[1] = 1;
    for (int round = 1; round <= max_rounds; ++round) {
        std::vector<double> next(n + 1, 0);
        for (std::size_t k = 1; k <= n; ++k) {
            if (informed[k] < negligible) continue;
            const double hit = 1 - std::pow(1 - reach, static_cast<double>(k));
            for (std::size_t more = 0; more <= n - k; ++more)
                next[k + more] += informed[k] * binomial(n - k, more, hit);
        }
        informed = std::move(next);
        if (informed[n] >= probability) return round;
    }
    return max_rounds;
}

Bounds bounds_of(const MembersOptions& options, const Network& network, double probability) {
    Bounds bounds;
    const std::size_t n = network.members;
    bounds.rounds = rounds_until_all(options, network, probability);
    const Time round = options.gossip_period + network.delay;
    bounds.by_gossip = bounds.rounds <= rounds_passed_on(options, n);
    // The first round starts up to one round after publication. What gossip misses arrives with a full list:
    // each member requests one from a random member in every `list_period`, and two requests are assumed.
    bounds.spread = bounds.rounds * round + (bounds.by_gossip ? 0 : 2 * options.list_period);
    // Each member shuffles the order of each pass of probes: a given member probes a dead one within two
    // passes for certain, and none of `n - 1` members probes it in one period with probability (1 -
    // 1/(n-1))^(n-1).
    const double missed =
        n > 2 ? std::pow(1 - 1.0 / static_cast<double>(n - 1), static_cast<double>(n - 1)) : 0;
    const double periods = missed > 0 ? std::min(std::ceil(std::log(1 - probability) / std::log(missed)),
                                                 2.0 * static_cast<double>(n))
                                      : 1;
    bounds.suspected = static_cast<Time>((periods + 1) * static_cast<double>(options.probe_period));
    const double least = options.suspicion_alpha * std::max(1.0, std::log10(static_cast<double>(n)));
    bounds.dead =
        bounds.suspected + bounds.spread +
        static_cast<Time>(options.suspicion_beta * least * static_cast<double>(options.probe_period));
    // Probes and acks in both directions, indirect probes with their relays, gossip, list requests and lists.
    const double periods_a_second = tenths_a_second / static_cast<double>(options.probe_period);
    const double gossips = options.fan_out * tenths_a_second / static_cast<double>(options.gossip_period);
    const double lists = 4 * tenths_a_second / static_cast<double>(options.list_period / 2);
    bounds.packets_a_second = periods_a_second * (2 + 4 * options.indirect_probes) + gossips + lists;
    bounds.bytes_a_second = bounds.packets_a_second * static_cast<double>(max_datagram_bytes);
    return bounds;
}

}  // namespace dewweir::members
