// Host observations over the members' gossip in virtual time: all hosts change at once, at several rates of
// loss, and the bounds hold.
#include <doctest/doctest.h>

#include "../members/world.h"
#include "members/bounds.h"
#include "verdicts/host_words.h"

using namespace world;
using namespace dewweir::verdicts;

namespace {

const ObservationOptions observation_options;

// A fleet that exchanges host observations, as src/peers/words does.
struct ObservingFleet {
    World world;
    std::vector<std::unique_ptr<HostObservations>> observations;
    Time oldest = 0;  // greatest age of a failure that had effect anywhere, since it was observed
    std::map<std::string, Time> seen;

    ObservingFleet(std::uint32_t seed, std::size_t n, const NetworkConditions& network) : world(seed) {
        world.network = network;
        for (std::size_t k = 0; k < n; ++k) {
            world.add();
            observations.push_back(
                std::make_unique<HostObservations>(observation_options, World::name(k), 1000));
            Members& members = *world.all[k].it;
            members.on_item = [this, k, &members](Time now, const std::string&, const GossipItem& item) {
                HostObservation read;
                if (host_observation_of(item, read) && observations[k]->receive(now, read))
                    members.publish(item);
            };
            members.live_items = [this, k, &members] {
                std::vector<GossipItem> all;
                for (const HostObservation& one : observations[k]->live_observations(members.now()))
                    all.push_back(item_of(one));
                return all;
            };
        }
    }
    void observe(std::size_t k, const std::string& host, HostCondition finding) {
        observations[k]->observe(world.now, host, finding);
        if (finding == HostCondition::ejected) seen[host] = world.now;
    }
    void run(Time most, const std::function<bool()>& done = {}) {
        for (const Time end = world.now + most; world.now < end;) {
            for (std::size_t k = 0; k < observations.size(); ++k) {
                for (const HostObservation& one : observations[k]->take_outgoing(world.now))
                    world.all[k].it->publish(item_of(one));
                world.wake(k);
                for (const auto& [host, at] : seen)
                    if (observations[k]->suspicion_of(world.now, host).score > 0)
                        oldest = std::max(oldest, world.now - at);
            }
            if (done && done()) return;
            world.run(50 * a_ms);
        }
    }
    bool all_suspect(const std::vector<std::string>& hosts) const {
        return std::all_of(observations.begin(), observations.end(), [&](const auto& one) {
            return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
                return one->suspicion_of(world.now, host).score >= 0.99;
            });
        });
    }
};

}  // namespace

TEST_CASE("when all hosts fail at once, the whole fleet knows it soon at every loss") {
    std::vector<std::string> hosts;
    for (int n = 0; n < 12; ++n) hosts.push_back("host-" + std::to_string(n));
    for (const std::size_t n : {3, 8, 24})
        for (const double loss : {0.05, 0.2, 0.4}) {
            ObservingFleet fleet(11, n, {.loss = loss, .duplicated = 0.1});
            fleet.run(20 * a_second);
            // Two gateways observe each host: a gateway's own observation does not add to its score.
            for (std::size_t at = 0; at < hosts.size(); ++at)
                for (std::size_t by = 0; by < 2; ++by)
                    fleet.observe((at + by) % n, hosts[at], HostCondition::ejected);
            const Time began = fleet.world.now;
            fleet.run(30 * a_second, [&] { return fleet.all_suspect(hosts); });
            const Bounds bounds =
                bounds_of(fleet.world.options, {.members = n, .loss = loss, .delay = 2 * a_ms}, 0.999);
            INFO(n << " members, loss " << loss << ": " << (fleet.world.now - began) / a_ms << " ms");
            CHECK(fleet.all_suspect(hosts));
            // A datagram holds about ten items, so two dozen items take several rounds.
            CHECK(fleet.world.now - began <= 3 * bounds.spread);
        }
}

TEST_CASE("no observation has effect past its bound, whoever repeats it, dies or is cut off meanwhile") {
    ObservingFleet fleet(12, 8, {.loss = 0.2, .duplicated = 0.2});
    fleet.run(20 * a_second);
    for (std::size_t k = 0; k < 4; ++k) fleet.observe(k, "h", HostCondition::ejected);
    fleet.run(2 * a_second);
    CHECK(fleet.observations[7]->suspicion_of(fleet.world.now, "h").score > 1.5);
    fleet.world.kill(0);
    fleet.world.network.passes = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    fleet.run(60 * a_second);
    const Time bound = observation_options.max_observation_age + observation_options.time_to_live + a_second;
    CHECK(fleet.oldest > observation_options.time_to_live);
    CHECK(fleet.oldest <= bound);
    // All observations have exceeded their maximum age, also that of the one observer on this side.
    CHECK(fleet.observations[7]->suspicion_of(fleet.world.now, "h").failing_count == 0);
}

TEST_CASE(
    "a host observed healthy again by one gateway is known so by all, and no older observation reverts it") {
    ObservingFleet fleet(13, 8, {.loss = 0.2, .duplicated = 0.2});
    fleet.run(20 * a_second);
    for (std::size_t k = 0; k < 3; ++k) fleet.observe(k, "h", HostCondition::ejected);
    fleet.run(2 * a_second);
    fleet.observe(0, "h", HostCondition::healthy);
    fleet.run(2 * a_second);
    for (int n = 0; n < 3; ++n) {
        for (std::size_t k = 3; k < 8; ++k)
            CHECK(fleet.observations[k]->suspicion_of(fleet.world.now, "h").score <= 0);
        fleet.run(a_second);
    }
}
