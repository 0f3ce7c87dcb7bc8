// Membership in virtual time: joins, deaths, pauses, partitions, loss, and two processes under one name.
#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

#include "members/bounds.h"
#include "members/live.h"
#include "world.h"

using namespace world;

namespace {

World fleet(std::uint32_t seed, std::size_t n, const NetworkConditions& network = {}) {
    World world(seed);
    world.network = network;
    for (std::size_t k = 0; k < n; ++k) world.add();
    return world;
}

}  // namespace

TEST_CASE(
    "all members find each other, started together or in sequence, despite loss, duplicates and a late "
    "seed") {
    for (const double loss : {0.0, 0.2, 0.4}) {
        NetworkConditions network{.loss = loss, .duplicated = 0.2};
        network.encode = true;
        World world = fleet(1, 24, network);
        world.run(30 * a_second, [&] { return world.agree(world.names()); });
        CHECK(world.agree(world.names()));
        CHECK(world.decode_errors == 0);
        CHECK(world.longest <= max_datagram_bytes);
    }
    World late(2);
    for (int n = 0; n < 6; ++n) late.add();
    late.kill(0);
    late.kill(1);  // both seeds, before they have sent anything
    late.run(20 * a_second);
    late.restart(0);
    late.run(60 * a_second, [&] { return late.agree(late.names()); });
    CHECK(late.agree(late.names()));
}

TEST_CASE(
    "no live member is declared dead through loss, duplicates, a pause of seconds or a one-way network "
    "fault") {
    for (const double loss : {0.0, 0.05, 0.2}) {
        World world = fleet(3, 24, {.loss = loss, .duplicated = 0.1});
        world.run(300 * a_second);
        CHECK_MESSAGE(world.deaths.empty(), "loss " << loss);
        CHECK(world.agree(world.names()));
    }
    World world = fleet(4, 12);
    world.run(20 * a_second);
    SUBCASE("a hears b, b does not hear a") {
        world.network.passes = [](std::size_t from, std::size_t to) { return !(from == 2 && to == 3); };
        world.run(120 * a_second);
    }
    SUBCASE("a hears nobody directly but one") {
        world.network.passes = [](std::size_t from, std::size_t to) { return to != 5 || from == 6; };
        world.run(20 * a_second);
    }
    SUBCASE("stopped for ten seconds, and back with what it believed then") {
        world.pause(7, true);
        world.run(10 * a_second);
        world.pause(7, false);
        world.run(60 * a_second);
    }
    CHECK(world.deaths.empty());
    CHECK(world.agree(world.names()));
}

TEST_CASE("a death is found by all within the bound at every loss; a leave is known at once") {
    for (const std::size_t n : {3, 8, 24})
        for (const double loss : {0.0, 0.05, 0.2}) {
            World world = fleet(5, n, {.loss = loss});
            world.run(30 * a_second, [&] { return world.agree(world.names()); });
            world.run(10 * a_second);
            const Time died = world.now;
            world.kill(n - 1);
            const Bounds bounds =
                bounds_of(world.options, {.members = n, .loss = loss, .delay = 2 * a_ms}, 0.999);
            world.run(bounds.dead, [&] { return world.agree(world.names()); });
            CHECK_MESSAGE(world.agree(world.names()), n << " members, loss " << loss);
            CHECK(world.now - died <= bounds.dead);
            CHECK(world.deaths.size() == 1);
        }
    World world = fleet(6, 12);
    world.run(20 * a_second);
    world.all[4].it->leave(world.now);
    world.flush(4);
    world.kill(4);
    world.run(2 * a_second, [&] { return world.agree(world.names()); });
    CHECK(world.agree(world.names()));
    CHECK(world.deaths.empty());
}

TEST_CASE("a restart under the same name takes effect at once, and incarnations never decrease") {
    World world = fleet(7, 8);
    std::map<std::pair<std::size_t, std::string>, std::pair<std::uint64_t, std::uint32_t>> held;
    world.run(20 * a_second);
    for (int round = 0; round < 5; ++round) {
        world.restart(3);
        world.run(a_second);
        for (std::size_t n = 0; n < 8; ++n)
            for (const auto& [name, one] : world.all[n].it->others()) {
                auto& last = held[{n * 100 + static_cast<std::size_t>(world.all[n].restarts), name}];
                const std::pair now{one.update.instance, one.update.incarnation};
                CHECK(now >= last);
                last = now;
            }
    }
    world.run(10 * a_second);
    CHECK(world.agree(world.names()));
    CHECK(world.deaths.empty());
    // A process whose clock was set back still takes over from the earlier one.
    world.all[3].it = std::make_unique<Members>(world.options, Update{"m3", World::address(3), 1},
                                                std::vector<Address>{World::address(0)}, 5, world.now);
    world.all[3].sequence += 1000;
    world.all[3].replay_filter = {};
    for (auto& one : world.all) one.replay_filter = {};
    world.flush(3);
    world.run(60 * a_second);
    CHECK(world.agree(world.names()));
}

TEST_CASE("of two processes with one name the earlier one learns of it and stops sending") {
    World world = fleet(8, 8);
    world.run(20 * a_second);
    const std::size_t twin = world.add("m2");
    world.run(30 * a_second);
    CHECK(world.all[2].it->replaced());
    CHECK(world.all[2].it->replaced_by() == World::address(twin));
    CHECK_FALSE(world.all[twin].it->replaced());
    const std::uint64_t sent = world.all[2].sent;
    world.run(10 * a_second);
    CHECK(world.all[2].sent == sent);
    world.kill(2);
    CHECK(world.agree(world.names()));
}

TEST_CASE(
    "after a partition of 20 s, or one until all hold the other side dead, all members find each other "
    "again") {
    for (const int seconds : {20, 200}) {
        World world = fleet(9, 24, {.loss = 0.05});
        world.run(20 * a_second);
        bool cut = true;
        world.network.passes = [&](std::size_t from, std::size_t to) {
            return !cut || (from < 8) == (to < 8);
        };
        world.run(seconds * a_second);
        // The 8 of 24 are under half and find so; none of the other 16 considers itself cut off.
        for (std::size_t n = 0; n < 24; ++n) {
            const std::size_t reached = world.all[n].it->reachable_count();
            if (n >= 8) CHECK(2 * reached >= 24);
            else if (seconds > 100) CHECK(2 * reached < 24);
        }
        const bool held_dead = !world.deaths.empty();
        CHECK(held_dead == (seconds == 200));
        cut = false;
        world.run(60 * a_second, [&] { return world.agree(world.names()); });
        CHECK_MESSAGE(world.agree(world.names()), "after " << seconds << " s");
        world.run(30 * a_second);
        CHECK(world.agree(world.names()));
    }
}

TEST_CASE(
    "with 20% loss the smaller side of a partition knows it within a minute, the larger one never claims "
    "it") {
    for (const auto& [all, branch] : {std::pair<std::size_t, std::size_t>{8, 2}, {24, 8}})
        for (std::uint32_t seed = 20; seed < 25; ++seed) {
            World world = fleet(seed, all, {.loss = 0.2, .duplicated = 0.1});
            world.run(20 * a_second);
            world.network.passes = [&](std::size_t from, std::size_t to) {
                return (from < branch) == (to < branch);
            };
            std::set<std::size_t> know;
            for (int n = 0; n < 60; ++n) {
                world.run(a_second);
                for (std::size_t k = 0; k < all; ++k)
                    if (2 * world.all[k].it->reachable_count() < all) know.insert(k);
            }
            CHECK_MESSAGE(know.size() == branch, all << " members, seed " << seed);
            CHECK(*know.rbegin() == branch - 1);
        }
}

TEST_CASE("a full restart of all members at once") {
    World world = fleet(10, 24, {.loss = 0.05});
    world.run(20 * a_second);
    for (std::size_t n = 0; n < 24; ++n) world.kill(n);
    world.run(3 * a_second);
    for (std::size_t n = 0; n < 24; ++n) world.restart(n);
    world.run(60 * a_second, [&] { return world.agree(world.names()); });
    CHECK(world.agree(world.names()));
    CHECK(world.deaths.empty());
}

TEST_CASE(
    "the stable count rises at once, falls with a delay, ignores flapping and is kept during a partition") {
    const LiveCountOptions options;
    LiveCount live(options);
    Time now = 0;
    const auto see = [&](std::size_t n, Time most) {
        for (const Time end = now + most; now < end; now += a_second) live.update(now, n);
    };
    see(8, 60 * a_second);
    CHECK(live.count() == 8);
    see(9, a_second);
    CHECK(live.count() == 9);
    for (int n = 0; n < 60; ++n) {  // a flapping member
        see(8, 3 * a_second);
        CHECK(live.count() == 9);
        see(9, 2 * a_second);
        CHECK(live.count() == 9);
    }
    see(6, options.fall_delay - a_second);
    CHECK(live.count() == 9);
    see(6, options.cut_window);
    CHECK(live.count() == 6);
    CHECK_FALSE(live.cut_off());
    see(4, 100 * a_second);
    CHECK(live.count() == 4);
    see(1, 200 * a_second);
    CHECK(live.cut_off());
    CHECK(live.count() == 4);
    see(2, a_second);
    CHECK_FALSE(live.cut_off());
    see(4, 100 * a_second);
    see(1, options.partition_for + 2 * a_second);  // permanent: taken for the actual size
    CHECK_FALSE(live.cut_off());
    CHECK(live.count() == 1);
}

TEST_CASE("the bound on the spread of an item holds with its stated probability at every size and loss") {
    for (const std::size_t n : {3, 8, 24})
        for (const double loss : {0.05, 0.2, 0.4}) {
            const MembersOptions options;
            const Bounds bounds = bounds_of(options, {.members = n, .loss = loss, .delay = 2 * a_ms}, 0.99);
            int late = 0;
            constexpr int plays = 60;
            for (std::uint32_t seed = 1; seed <= plays; ++seed) {
                World world = fleet(seed, n, {.loss = loss});
                std::set<std::size_t> informed;
                for (std::size_t k = 0; k < n; ++k)
                    world.all[k].it->on_item = [&world, &informed, k](Time, const std::string&,
                                                                      const GossipItem& item) {
                        if (informed.insert(k).second) world.all[k].it->publish(item);
                    };
                world.run(20 * a_second, [&] { return world.agree(world.names()); });
                world.run(5 * a_second);
                informed.insert(0);
                world.all[0].it->publish({"key", 1, world.now, 600 * a_second, "bytes"});
                world.run(bounds.spread, [&] { return informed.size() == n; });
                late += informed.size() < n;
            }
            CHECK_MESSAGE(late <= 4, n << " members, loss " << loss << ": " << late << " of " << plays);
        }
}

// DEWWEIR_MEMBERS=1000 measures a large fleet beside the published figures; it takes minutes.
TEST_CASE("a large fleet: what is sent, false accusations beside slow members, detection" *
          doctest::skip(std::getenv("DEWWEIR_MEMBERS") == nullptr)) {
    const std::size_t n = std::strtoul(std::getenv("DEWWEIR_MEMBERS"), nullptr, 10);
    for (const bool refined : {false, true}) {
        World world(21);
        if (!refined) {
            world.options.max_health_score = 0;
            world.options.suspicion_beta = 1;
        }
        for (std::size_t k = 0; k < n; ++k) world.add();
        world.network.loss = 0.01;
        world.run(120 * a_second, [&] { return world.agree(world.names()); });
        const double joined = static_cast<double>(world.now) / a_second;
        const std::uint64_t before = world.sent;
        const Time from = world.now;
        world.run(30 * a_second);
        const double packets = static_cast<double>(world.sent - before) / static_cast<double>(n) / 30;
        // One in fifty is slow: stopped for ten seconds of every fifteen.
        for (int round = 0; round < 8; ++round) {
            for (std::size_t k = 0; k < n; k += 50) world.pause(k, true);
            world.run(10 * a_second);
            for (std::size_t k = 0; k < n; k += 50) world.pause(k, false);
            world.run(5 * a_second);
        }
        int falsely = 0, of_healthy = 0;
        for (const auto& [name, times] : world.deaths) {
            falsely += times;
            of_healthy += std::strtoul(name.c_str() + 1, nullptr, 10) % 50 ? times : 0;
        }
        world.run(60 * a_second);
        world.deaths.clear();
        std::vector<double> first, all;
        for (std::size_t k = 1; k <= 5; ++k) {
            const Time died = world.now;
            Time seen = 0;
            world.on_change = [&](std::size_t, const Update& change) {
                if (!seen && change.name == World::name(k) && change.state == State::dead) seen = world.now;
            };
            world.kill(k);
            world.run(300 * a_second, [&] { return world.agree(world.names()); });
            first.push_back(static_cast<double>(seen - died) / a_second);
            all.push_back(static_cast<double>(world.now - died) / a_second);
        }
        std::sort(first.begin(), first.end());
        std::sort(all.begin(), all.end());
        std::cout << n << (refined ? " members, Lifeguard: " : " members, SWIM: ") << "joined in " << joined
                  << " s, " << packets << " packets a second each; held dead by slow members " << falsely
                  << ", of these healthy ones " << of_healthy << "; a death is first held after " << first[2]
                  << " s, by all after " << all[2] << " s (medians of 5)" << std::endl;
        static_cast<void>(from);
    }
}
