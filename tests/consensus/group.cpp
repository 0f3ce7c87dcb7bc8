// What a group must survive, case by case, in virtual time.
#include <catch2/catch.hpp>

#include "consensus/world.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};  // for an election, or a machine's return, with calm links
constexpr milliseconds a_while{10'000};

MachineIndex await_leader(World& world) {
    REQUIRE(world.run_until(bound, [&] { return world.leader().has_value(); }));
    REQUIRE(world.run_until(bound, [&] { return world.whole(); }));
    return *world.leader();
}

MachineIndex other_than(MachineIndex index, std::size_t machines) { return (index + 1) % machines; }

bool commits(World& world, MachineIndex leader) {
    const std::size_t before = world.checker().acknowledged();
    if (!world.propose(leader)) return false;
    return world.run_until(bound, [&] { return world.checker().acknowledged() > before; });
}

Term term_of(World& world, MachineIndex index) { return world.machines()[index].raft->term(); }

void no_violation(World& world) { CHECK(world.checker().violations().empty()); }

TEST_CASE("a replica that hears nobody does not depose the leader") {
    World world(3, 1);
    const MachineIndex leader = await_leader(world);
    const Term term = term_of(world, leader);
    const MachineIndex deaf = other_than(leader, 3);
    for (MachineIndex from = 0; from < 3; ++from) world.cut(from, deaf);
    world.run_for(a_while);
    CHECK(term_of(world, leader) == term);
    CHECK(world.leader() == leader);
    world.network().cuts.clear();
    CHECK(world.run_until(bound, [&] { return world.whole(); }));
    CHECK(term_of(world, leader) == term);
    no_violation(world);
}

TEST_CASE("a leader that hears nobody steps down, also under steady reads") {
    World world(3, 2);
    const MachineIndex deaf = await_leader(world);
    for (MachineIndex from = 0; from < 3; ++from) world.cut(from, deaf);
    const TimePoint end = world.now() + a_while;
    while (world.now() < end) {
        world.read(deaf);
        world.run_for(milliseconds(20));
    }
    REQUIRE(world.leader().has_value());
    CHECK(world.leader() != deaf);
    CHECK(world.machines()[deaf].raft->role() != Role::leader);
    CHECK(commits(world, *world.leader()));
    no_violation(world);
}

TEST_CASE("a leader's hung disk stops neither changes nor heartbeats") {
    World world(3, 3);
    const MachineIndex leader = await_leader(world);
    const Term term = term_of(world, leader);
    world.hang_disk(leader, milliseconds(60'000));
    for (int count = 0; count < 40; ++count) CHECK(commits(world, leader));
    world.run_for(a_while);
    CHECK(world.leader() == leader);
    CHECK(term_of(world, leader) == term);
    no_violation(world);
}

TEST_CASE("nothing is acknowledged while no majority can sync") {
    World world(3, 4);
    const MachineIndex leader = await_leader(world);
    world.hang_disk(leader, milliseconds(4'000));
    world.hang_disk(other_than(leader, 3), milliseconds(4'000));
    REQUIRE(world.propose(leader));
    world.run_for(milliseconds(3'900));
    CHECK(world.checker().acknowledged() == 0);
    CHECK(world.run_until(bound, [&] { return world.checker().acknowledged() == 1; }));
    no_violation(world);
}

TEST_CASE("a machine with a lost disk returns as a learner, then as a voter in place of its old life") {
    World world(5, 5);
    const MachineIndex leader = await_leader(world);
    const MachineIndex lost = other_than(leader, 5);
    const ReplicaId old_id = world.machines()[lost].replica.id;
    for (int count = 0; count < 60; ++count) REQUIRE(commits(world, leader));
    world.wipe(lost);
    world.start(lost);
    const ReplicaId new_id = world.machines()[lost].replica.id;
    REQUIRE(new_id != old_id);
    world.repair_membership();
    CHECK(find_learner(world.machines()[leader].raft->membership(), new_id));
    REQUIRE(world.run_until(bound, [&] { return world.whole(); }));
    const Membership membership = world.machines()[leader].raft->membership();
    CHECK(find_voter(membership, new_id));
    CHECK_FALSE(find_voter(membership, old_id));
    no_violation(world);
}

TEST_CASE("a replaced machine at another address takes part, the old one is removed") {
    World world(3, 6);
    const MachineIndex leader = await_leader(world);
    world.replace(leader);
    REQUIRE(world.run_until(bound, [&] {
        world.repair_membership();
        return world.whole();
    }));
    CHECK(commits(world, *world.leader()));
    CHECK(world.machines()[*world.leader()].raft->membership().voters.size() == 3);
    no_violation(world);
}

TEST_CASE("leadership goes where it is handed, without an election time-out") {
    World world(5, 7);
    const MachineIndex leader = await_leader(world);
    const MachineIndex next = other_than(leader, 5);
    const ReplicaId id = world.machines()[next].replica.id;
    world.with(leader, [&](Raft& raft) { CHECK_FALSE(raft.transfer_leadership(world.now(), id)); });
    CHECK_FALSE(world.propose(leader));
    CHECK(world.run_until(milliseconds(200), [&] { return world.leader() == next; }));
    CHECK(commits(world, next));
    no_violation(world);
}

TEST_CASE("after step_down another leads soon") {
    World world(3, 8);
    const MachineIndex leader = await_leader(world);
    world.with(leader, [&](Raft& raft) { raft.step_down(world.now()); });
    CHECK(world.run_until(milliseconds(300),
                          [&] { return world.leader().has_value() && world.leader() != leader; }));
    no_violation(world);
}

TEST_CASE("a whole group killed at once and back within a second commits again") {
    World world(7, 9);
    const MachineIndex leader = await_leader(world);
    REQUIRE(commits(world, leader));
    for (MachineIndex index = 0; index < 7; ++index) world.stop(index);
    world.run_for(milliseconds(1000));
    for (MachineIndex index = 0; index < 7; ++index) world.start(index);
    CHECK(commits(world, await_leader(world)));
    no_violation(world);
}

TEST_CASE("wide round trips widen the time-outs: a far group keeps its leader") {
    World world(5, 10);
    world.network().shortest_delay = milliseconds(80);
    world.network().longest_delay = milliseconds(120);
    const MachineIndex leader = await_leader(world);
    const Term term = term_of(world, leader);
    world.network().loss = 0.2;
    world.run_for(milliseconds(60'000));
    CHECK(term_of(world, leader) == term);
    no_violation(world);
}

}  // namespace
}  // namespace dewweir::consensus::testing
