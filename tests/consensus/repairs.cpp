// Repairs, replacements and planned leaving: what the group can lose meanwhile and right after.
#include <catch2/catch.hpp>

#include "consensus/world.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};     // for an election, or a machine's return, with calm links
constexpr milliseconds catch_up{4'000};  // the platform's: after it the next machine may be lost
constexpr milliseconds grace{6'000};
constexpr milliseconds short_time{10};
constexpr milliseconds step{50};

MachineIndex await_leader(World& world) {
    REQUIRE(world.run_until(bound, [&] { return world.leader().has_value(); }));
    REQUIRE(world.run_until(bound, [&] { return world.whole(); }));
    return *world.leader();
}

MachineIndex after(MachineIndex index, std::size_t machines) { return (index + 1) % machines; }

bool acknowledges(World& world) {
    const std::size_t before = world.checker().acknowledged();
    const TimePoint end = world.now() + bound;
    while (world.now() < end) {
        world.repair_membership();
        if (world.leader()) world.propose(*world.leader());
        if (world.run_until(step, [&] { return world.checker().acknowledged() > before; })) return true;
    }
    return false;
}

// Replicas that are no members ask meanwhile.
bool await(World& world, milliseconds within, const std::function<bool()>& holds) {
    const TimePoint end = world.now() + within;
    while (world.now() < end) {
        world.repair_membership();
        if (world.run_until(step, holds)) return true;
    }
    return false;
}

bool becomes_whole(World& world, milliseconds within) {
    return await(world, within, [&] { return world.whole(); });
}

void cut_both_ways(World& world, MachineIndex one, MachineIndex other) {
    world.cut(one, other);
    world.cut(other, one);
}

void no_violation(World& world) {
    for (const Violation& violation : world.checker().violations()) FAIL_CHECK(violation.text);
}

const Membership& membership_at(World& world, MachineIndex index) {
    return world.machines()[index].raft->membership();
}

// A leaver is exchanged for its substitute while the links part {leader, substitute} from {other, leaver}.
bool exchange_in_a_cut_is_safe(Sabotage sabotage) {
    World world(3, 11, sabotage);
    const MachineIndex leader = await_leader(world);
    const MachineIndex other = after(leader, 3);
    const MachineIndex leaver = after(other, 3);
    const MachineIndex substitute = world.add_machine();
    const ReplicaId id = world.machines()[substitute].replica.id;
    world.leave(leaver, grace);
    const auto votes = [&] { return find_voter(membership_at(world, leader), id) != nullptr; };
    if (!await(world, bound, votes)) return false;
    for (const MachineIndex one : {leader, substitute}) {
        cut_both_ways(world, one, other);
        cut_both_ways(world, one, leaver);
    }
    const TimePoint end = world.now() + bound;
    while (world.now() < end) {
        for (const MachineIndex index : {leader, other, leaver}) world.propose(index);
        world.run_for(milliseconds(50));
    }
    return world.checker().violations().empty();
}

TEST_CASE("an exchange of voters needs both majorities: no cut makes two groups") {
    CHECK(exchange_in_a_cut_is_safe(Sabotage::none));
    CHECK_FALSE(exchange_in_a_cut_is_safe(Sabotage::replace_without_joint_consensus));
}

// The leaver and the leader alone hold what was acknowledged last, the leader loses its disk, and the leaver
// is told to go before the third one and the substitute have caught up.
bool leaver_with_the_only_copy_is_safe(Sabotage sabotage) {
    World world(3, 12, sabotage);
    const MachineIndex leader = await_leader(world);
    const MachineIndex behind = after(leader, 3);
    const MachineIndex leaver = after(behind, 3);
    for (const MachineIndex one : {leader, leaver}) cut_both_ways(world, one, behind);
    for (int count = 0; count < 5; ++count) REQUIRE(acknowledges(world));
    world.add_machine();
    world.machines()[leaver].leaves_for_good = true;
    world.leave(leaver, grace);
    world.wipe(leader);
    world.start(leader);
    world.run_for(milliseconds(1'000));
    world.network().cuts.clear();
    if (!becomes_whole(world, milliseconds(20'000))) return false;
    return acknowledges(world) && world.checker().violations().empty();
}

TEST_CASE("a leaver that holds the only copy stays until others have it") {
    CHECK(leaver_with_the_only_copy_is_safe(Sabotage::none));
    CHECK_FALSE(leaver_with_the_only_copy_is_safe(Sabotage::leave_unasked));
}

TEST_CASE("after a repair the group can lose the next disk within catch_up, right after its last step") {
    for (const std::size_t machines : {3u, 5u, 7u}) {
        for (const bool at_another_address : {false, true}) {
            INFO(machines << " machines, " << (at_another_address ? "replaced" : "wiped"));
            World world(machines, 13 + machines);
            const MachineIndex leader = await_leader(world);
            const MachineIndex lost = after(leader, machines);
            for (int count = 0; count < 30; ++count) REQUIRE(acknowledges(world));
            const TimePoint from = world.now();
            if (at_another_address) {
                world.replace(lost);
            } else {
                world.wipe(lost);
                world.start(lost);
            }
            REQUIRE(becomes_whole(world, catch_up));
            CHECK(world.now() - from < catch_up);
            world.run_for(milliseconds(world.draw(short_time.count())));
            world.wipe(after(lost, machines));
            world.start(after(lost, machines));
            CHECK(acknowledges(world));
            CHECK(becomes_whole(world, catch_up));
            no_violation(world);
        }
    }
}

TEST_CASE("with a budget of two, two disks are lost at once and the repairs end within catch_up") {
    for (const std::size_t machines : {5u, 7u}) {
        World world(machines, 29 + machines);
        const MachineIndex leader = await_leader(world);
        for (int count = 0; count < 30; ++count) REQUIRE(acknowledges(world));
        for (const MachineIndex lost : {leader, after(leader, machines)}) {
            world.wipe(lost);
            world.start(lost);
        }
        CHECK(becomes_whole(world, catch_up));
        CHECK(acknowledges(world));
        no_violation(world);
    }
}

TEST_CASE("a voter that is only cut off stays a voter while a dead one is replaced") {
    World world(5, 41);
    const MachineIndex leader = await_leader(world);
    const MachineIndex cut_off = after(leader, 5);
    const MachineIndex dead = after(cut_off, 5);
    for (MachineIndex index = 0; index < 5; ++index) {
        if (index != cut_off) cut_both_ways(world, index, cut_off);
    }
    world.run_for(milliseconds(1'500));
    const ReplicaId dead_id = world.machines()[dead].replica.id;
    const ReplicaId cut_id = world.machines()[cut_off].replica.id;
    world.replace(dead);
    world.run_for(milliseconds(18'500));
    CHECK(find_voter(membership_at(world, leader), cut_id));
    CHECK(membership_at(world, leader).voters.size() == 5);
    world.network().cuts.clear();
    CHECK(becomes_whole(world, bound));
    CHECK_FALSE(find_voter(membership_at(world, *world.leader()), dead_id));
    CHECK(find_voter(membership_at(world, *world.leader()), cut_id));
    no_violation(world);
}

TEST_CASE("two of five away for long do not make the group smaller") {
    World world(5, 43);
    const MachineIndex leader = await_leader(world);
    const MachineIndex first = after(leader, 5);
    const MachineIndex second = after(first, 5);
    world.stop(first);
    world.stop(second);
    world.run_for(milliseconds(40'000));
    CHECK(membership_at(world, leader).voters.size() == 5);
    world.start(first);
    world.start(second);
    CHECK(becomes_whole(world, bound));
    no_violation(world);
}

TEST_CASE("a planned replacement ends with the leaver gone and as many voters as before") {
    World world(3, 47);
    const MachineIndex leader = await_leader(world);
    world.add_machine();
    world.machines()[leader].leaves_for_good = true;
    world.leave(leader, grace);
    REQUIRE(becomes_whole(world, bound));
    CHECK(world.left() == 1);
    CHECK(membership_at(world, *world.leader()).voters.size() == 3);
    CHECK(acknowledges(world));
    no_violation(world);
}

TEST_CASE("a replica that was put out does not disturb the group after all have lost power") {
    World world(3, 53);
    const MachineIndex leader = await_leader(world);
    const MachineIndex put_out = after(leader, 3);
    const ReplicaId old_id = world.machines()[put_out].replica.id;
    for (MachineIndex index = 0; index < 3; ++index) cut_both_ways(world, index, put_out);
    world.add_machine();
    const auto gone = [&] { return !is_member(membership_at(world, leader), old_id); };
    REQUIRE(await(world, milliseconds(20'000), gone));
    world.network().cuts.clear();
    for (MachineIndex index = 0; index < 4; ++index) world.lose_power(index);
    for (MachineIndex index = 0; index < 4; ++index) world.start(index);
    CHECK(acknowledges(world));
    const Term term = world.machines()[*world.leader()].raft->term();
    world.run_for(milliseconds(10'000));
    CHECK(world.machines()[*world.leader()].raft->term() == term);
    no_violation(world);
}

TEST_CASE("a disk that fills follows without voting and takes part again by itself") {
    World world(3, 59);
    const MachineIndex leader = await_leader(world);
    const MachineIndex full = after(leader, 3);
    world.fill_disk(full, milliseconds(6'000));
    for (int count = 0; count < 20; ++count) REQUIRE(acknowledges(world));
    CHECK(world.machines()[full].state.version > 10);
    world.stop(after(full, 3) == leader ? after(leader, 3) : after(full, 3));
    CHECK(world.machines()[full].raft != nullptr);
    const std::size_t before = world.checker().acknowledged();
    world.propose(leader);
    world.run_for(milliseconds(1'000));
    CHECK(world.checker().acknowledged() == before);
    world.run_for(milliseconds(6'000));
    CHECK(acknowledges(world));
    no_violation(world);
}

TEST_CASE("five hundred changes with snapshots; a member returns at any step of the transfer") {
    World world(3, 61);
    const MachineIndex leader = await_leader(world);
    const MachineIndex member = after(leader, 3);
    for (int round = 0; round < 25; ++round) {
        world.stop(member);
        for (int count = 0; count < 20; ++count) REQUIRE(acknowledges(world));
        for (int stops = 0; stops < 3; ++stops) {
            world.start(member);
            world.run_for(milliseconds(world.draw(60)));
            world.lose_power(member);
        }
        world.start(member);
        REQUIRE(becomes_whole(world, bound));
    }
    CHECK(world.checker().acknowledged() >= 500);
    no_violation(world);
}

}  // namespace
}  // namespace dewweir::consensus::testing
