// Measures, in virtual time, how long a group commits nothing after each kind of failure of its leader.
// DEWWEIR_FAILOVER_TABLE names a file for the results; DEWWEIR_FAILOVERS sets the number of seeds for each
// kind (default 20).
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>

#include "consensus/simulation.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};
constexpr milliseconds step{10};
constexpr milliseconds grace{6'000};
constexpr milliseconds away{20'000};

enum class LeaderLoss : std::uint8_t {
    killed,
    power,
    wiped,
    frozen,
    cut_both_directions,
    receives_nothing,
    sends_nothing,
    graceful_leave,
    disk_refuses,
    all_killed,
    count
};

const char* name_of(LeaderLoss loss) {
    switch (loss) {
        case LeaderLoss::killed: return "killed";
        case LeaderLoss::power: return "power lost";
        case LeaderLoss::wiped: return "disk lost";
        case LeaderLoss::frozen: return "frozen";
        case LeaderLoss::cut_both_directions: return "cut off both ways";
        case LeaderLoss::receives_nothing: return "hears nobody";
        case LeaderLoss::sends_nothing: return "heard by nobody";
        case LeaderLoss::graceful_leave: return "told to end";
        case LeaderLoss::disk_refuses: return "disk takes no bytes";
        case LeaderLoss::all_killed: return "all killed, back after 1 s";
        case LeaderLoss::count: break;
    }
    return "";
}

void lose_all(Simulation& simulation, std::size_t machines) {
    for (MachineIndex index = 0; index < machines; ++index) simulation.stop(index);
    simulation.run_for(milliseconds(1'000));
    for (MachineIndex index = 0; index < machines; ++index) simulation.start(index);
}

void cut(Simulation& simulation, MachineIndex leader, std::size_t machines, bool to_it, bool from_it) {
    for (MachineIndex index = 0; index < machines; ++index) {
        if (to_it) simulation.cut(index, leader);
        if (from_it) simulation.cut(leader, index);
    }
}

void inject(Simulation& simulation, LeaderLoss loss, MachineIndex leader, std::size_t machines) {
    switch (loss) {
        case LeaderLoss::killed: return simulation.stop(leader);
        case LeaderLoss::power: return simulation.lose_power(leader);
        case LeaderLoss::wiped: return simulation.wipe(leader);
        case LeaderLoss::frozen: return simulation.freeze(leader, away);
        case LeaderLoss::cut_both_directions: return cut(simulation, leader, machines, true, true);
        case LeaderLoss::receives_nothing: return cut(simulation, leader, machines, true, false);
        case LeaderLoss::sends_nothing: return cut(simulation, leader, machines, false, true);
        case LeaderLoss::graceful_leave: return simulation.leave(leader, grace);
        case LeaderLoss::disk_refuses:
            simulation.fill_disk(leader, away);
            // The owner of a replica calls step_down when a write fails.
            return simulation.call_raft(leader, [&](Raft& raft) { raft.step_down(simulation.now()); });
        case LeaderLoss::all_killed: return lose_all(simulation, machines);
        case LeaderLoss::count: return;
    }
}

// Time from the failure until a change sent after it is acknowledged; none if that takes longer than `bound`
// or violates a safety property.
std::optional<milliseconds> time_to_recover(LeaderLoss loss, std::uint64_t seed, std::size_t machines,
                                            milliseconds longest_delay) {
    Simulation simulation(machines, seed);
    simulation.network().longest_delay = longest_delay;
    if (!simulation.run_until(bound, [&] { return simulation.converged(); })) return std::nullopt;
    simulation.run_for(milliseconds(1'000 + simulation.draw(300)));
    const TimePoint from = simulation.now();
    inject(simulation, loss, *simulation.leader(), machines);
    const std::size_t before = simulation.checker().acknowledged();
    while (simulation.now() - from < bound) {
        for (MachineIndex index = 0; index < machines; ++index) simulation.propose(index);
        simulation.run_for(step);
        if (simulation.checker().acknowledged() <= before) continue;
        if (!simulation.checker().violations().empty()) return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(simulation.now() - from);
    }
    return std::nullopt;
}

struct Spread {
    milliseconds least{0};
    milliseconds middle{0};
    milliseconds most{0};
};

Spread spread_of(std::vector<milliseconds> times) {
    std::sort(times.begin(), times.end());
    return {times.front(), times[times.size() / 2], times.back()};
}

TEST_CASE("after each kind of loss of its leader a group commits again within the bound") {
    const char* const seeds_text = std::getenv("DEWWEIR_FAILOVERS");
    const std::uint64_t seeds = seeds_text ? std::strtoull(seeds_text, nullptr, 10) : 20;
    std::string rows;
    for (const std::size_t machines : {3u, 5u, 7u}) {
        for (const milliseconds delay : {milliseconds(10), milliseconds(60)}) {
            for (int number = 0; number < static_cast<int>(LeaderLoss::count); ++number) {
                const auto loss = static_cast<LeaderLoss>(number);
                INFO(machines << " machines, " << name_of(loss));
                std::vector<milliseconds> times;
                for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                    const auto time = time_to_recover(loss, seed, machines, delay);
                    REQUIRE(time);
                    times.push_back(*time);
                }
                const Spread spread = spread_of(times);
                rows += std::string(rows.empty() ? "\n" : ",\n") +
                        "  {\"machines\": " + std::to_string(machines) +
                        ", \"longest_one_way_ms\": " + std::to_string(delay.count()) + ", \"loss\": \"" +
                        name_of(loss) + "\", \"least_ms\": " + std::to_string(spread.least.count()) +
                        ", \"median_ms\": " + std::to_string(spread.middle.count()) +
                        ", \"most_ms\": " + std::to_string(spread.most.count()) + "}";
            }
        }
    }
    const char* const path = std::getenv("DEWWEIR_FAILOVER_TABLE");
    if (!path) return;
    std::ofstream(path)
        << "{\n \"what\": \"from the loss of the leader until a change sent after it is acknowledged, in "
           "virtual time\",\n \"command\": \"DEWWEIR_FAILOVERS="
        << seeds << " consensus_tests 'after each kind of loss*'\",\n \"seeds\": \"0 to " << seeds - 1
        << "\",\n \"rows\": [" << rows << "\n ]\n}\n";
}

}  // namespace
}  // namespace dewweir::consensus::testing
