// How long a group is without a leader that commits, after each kind of loss of its leader, in virtual time.
// DEWWEIR_FAILOVER_TABLE names a file for the table; DEWWEIR_FAILOVERS sets how many seeds each (20).
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>

#include "consensus/world.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};
constexpr milliseconds step{10};
constexpr milliseconds grace{6'000};
constexpr milliseconds away{20'000};

enum class Loss : std::uint8_t {
    killed,
    power,
    wiped,
    frozen,
    cut_both_ways,
    hears_nobody,
    heard_by_nobody,
    told_to_end,
    disk_refuses,
    all_killed,
    count
};

const char* name_of(Loss loss) {
    switch (loss) {
        case Loss::killed: return "killed";
        case Loss::power: return "power lost";
        case Loss::wiped: return "disk lost";
        case Loss::frozen: return "frozen";
        case Loss::cut_both_ways: return "cut off both ways";
        case Loss::hears_nobody: return "hears nobody";
        case Loss::heard_by_nobody: return "heard by nobody";
        case Loss::told_to_end: return "told to end";
        case Loss::disk_refuses: return "disk takes no bytes";
        case Loss::all_killed: return "all killed, back after 1 s";
        case Loss::count: break;
    }
    return "";
}

void lose_all(World& world, std::size_t machines) {
    for (MachineIndex index = 0; index < machines; ++index) world.stop(index);
    world.run_for(milliseconds(1'000));
    for (MachineIndex index = 0; index < machines; ++index) world.start(index);
}

void cut(World& world, MachineIndex leader, std::size_t machines, bool to_it, bool from_it) {
    for (MachineIndex index = 0; index < machines; ++index) {
        if (to_it) world.cut(index, leader);
        if (from_it) world.cut(leader, index);
    }
}

void bring_about(World& world, Loss loss, MachineIndex leader, std::size_t machines) {
    switch (loss) {
        case Loss::killed: return world.stop(leader);
        case Loss::power: return world.lose_power(leader);
        case Loss::wiped: return world.wipe(leader);
        case Loss::frozen: return world.freeze(leader, away);
        case Loss::cut_both_ways: return cut(world, leader, machines, true, true);
        case Loss::hears_nobody: return cut(world, leader, machines, true, false);
        case Loss::heard_by_nobody: return cut(world, leader, machines, false, true);
        case Loss::told_to_end: return world.leave(leader, grace);
        case Loss::disk_refuses:
            world.fill_disk(leader, away);
            // As the owner does when a write has failed.
            return world.with(leader, [&](Raft& raft) { raft.step_down(world.now()); });
        case Loss::all_killed: return lose_all(world, machines);
        case Loss::count: return;
    }
}

// From the loss until a change that was sent after it is acknowledged; nothing where that takes longer than
// `bound`.
std::optional<milliseconds> time_without_leader(Loss loss, std::uint64_t seed, std::size_t machines,
                                                milliseconds longest_delay) {
    World world(machines, seed);
    world.network().longest_delay = longest_delay;
    if (!world.run_until(bound, [&] { return world.whole(); })) return std::nullopt;
    world.run_for(milliseconds(1'000 + world.draw(300)));
    const TimePoint from = world.now();
    bring_about(world, loss, *world.leader(), machines);
    const std::size_t before = world.checker().acknowledged();
    while (world.now() - from < bound) {
        for (MachineIndex index = 0; index < machines; ++index) world.propose(index);
        world.run_for(step);
        if (world.checker().acknowledged() <= before) continue;
        if (!world.checker().violations().empty()) return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(world.now() - from);
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
    const char* const wanted = std::getenv("DEWWEIR_FAILOVERS");
    const std::uint64_t seeds = wanted ? std::strtoull(wanted, nullptr, 10) : 20;
    std::string rows;
    for (const std::size_t machines : {3u, 5u, 7u}) {
        for (const milliseconds delay : {milliseconds(10), milliseconds(60)}) {
            for (int number = 0; number < static_cast<int>(Loss::count); ++number) {
                const auto loss = static_cast<Loss>(number);
                INFO(machines << " machines, " << name_of(loss));
                std::vector<milliseconds> times;
                for (std::uint64_t seed = 0; seed < seeds; ++seed) {
                    const auto time = time_without_leader(loss, seed, machines, delay);
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
