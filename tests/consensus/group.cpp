// Faults that a group must survive, one test case each, in virtual time.
#include <catch2/catch.hpp>

#include "consensus/simulation.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};  // for an election, or for a machine to rejoin, without network faults
constexpr milliseconds observation{10'000};

MachineIndex await_leader(Simulation& simulation) {
    REQUIRE(simulation.run_until(bound, [&] { return simulation.leader().has_value(); }));
    REQUIRE(simulation.run_until(bound, [&] { return simulation.converged(); }));
    return *simulation.leader();
}

MachineIndex next_after(MachineIndex index, std::size_t machines) { return (index + 1) % machines; }

bool commits(Simulation& simulation, MachineIndex leader) {
    const std::size_t before = simulation.checker().acknowledged();
    if (!simulation.propose(leader)) return false;
    return simulation.run_until(bound, [&] { return simulation.checker().acknowledged() > before; });
}

Term term_of(Simulation& simulation, MachineIndex index) { return simulation.machines()[index].raft->term(); }

// Whether a follower that restarts again and again behind slow links, while changes are acknowledged, serves
// a state older than one that was acknowledged before it asked.
bool restarts_serve_old_state(InjectedDefect defect, std::uint64_t seed) {
    constexpr int steps = 400;
    constexpr milliseconds step_length{25};
    Simulation simulation(3, seed, defect);
    await_leader(simulation);
    simulation.network().longest_delay = milliseconds(300);
    for (int step = 0; step < steps && simulation.checker().violations().empty(); ++step) {
        const std::optional<MachineIndex> leader = simulation.leader();
        const MachineIndex follower = next_after(leader.value_or(0), 3);
        if (simulation.draw_bool(0.05)) {
            simulation.stop(follower);
            simulation.start(follower);
        }
        if (leader) simulation.propose(*leader);
        simulation.serve_confirmed_state(follower);
        simulation.run_for(step_length);
    }
    return !simulation.checker().violations().empty();
}

void no_violation(Simulation& simulation) { CHECK(simulation.checker().violations().empty()); }

TEST_CASE("a replica that receives no messages does not depose the leader") {
    Simulation simulation(3, 1);
    const MachineIndex leader = await_leader(simulation);
    const Term term = term_of(simulation, leader);
    const MachineIndex isolated = next_after(leader, 3);
    for (MachineIndex from = 0; from < 3; ++from) simulation.cut(from, isolated);
    simulation.run_for(observation);
    CHECK(term_of(simulation, leader) == term);
    CHECK(simulation.leader() == leader);
    simulation.network().cuts.clear();
    CHECK(simulation.run_until(bound, [&] { return simulation.converged(); }));
    CHECK(term_of(simulation, leader) == term);
    no_violation(simulation);
}

TEST_CASE("a leader that receives no messages steps down, even under steady reads") {
    Simulation simulation(3, 2);
    const MachineIndex isolated = await_leader(simulation);
    for (MachineIndex from = 0; from < 3; ++from) simulation.cut(from, isolated);
    const TimePoint end = simulation.now() + observation;
    while (simulation.now() < end) {
        simulation.read(isolated);
        simulation.run_for(milliseconds(20));
    }
    REQUIRE(simulation.leader().has_value());
    CHECK(simulation.leader() != isolated);
    CHECK(simulation.machines()[isolated].raft->role() != Role::leader);
    CHECK(commits(simulation, *simulation.leader()));
    no_violation(simulation);
}

TEST_CASE("a leader whose disk hangs keeps committing changes and sending heartbeats") {
    Simulation simulation(3, 3);
    const MachineIndex leader = await_leader(simulation);
    const Term term = term_of(simulation, leader);
    simulation.hang_disk(leader, milliseconds(60'000));
    for (int count = 0; count < 40; ++count) CHECK(commits(simulation, leader));
    simulation.run_for(observation);
    CHECK(simulation.leader() == leader);
    CHECK(term_of(simulation, leader) == term);
    no_violation(simulation);
}

TEST_CASE("nothing is acknowledged while no majority can sync") {
    Simulation simulation(3, 4);
    const MachineIndex leader = await_leader(simulation);
    simulation.hang_disk(leader, milliseconds(4'000));
    simulation.hang_disk(next_after(leader, 3), milliseconds(4'000));
    REQUIRE(simulation.propose(leader));
    simulation.run_for(milliseconds(3'900));
    CHECK(simulation.checker().acknowledged() == 0);
    CHECK(simulation.run_until(bound, [&] { return simulation.checker().acknowledged() == 1; }));
    no_violation(simulation);
}

TEST_CASE(
    "a machine that lost its disk rejoins as a learner and then replaces its previous replica as a voter") {
    Simulation simulation(5, 5);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex lost = next_after(leader, 5);
    const ReplicaId old_id = simulation.machines()[lost].replica.id;
    for (int count = 0; count < 60; ++count) REQUIRE(commits(simulation, leader));
    simulation.wipe(lost);
    simulation.start(lost);
    const ReplicaId new_id = simulation.machines()[lost].replica.id;
    REQUIRE(new_id != old_id);
    simulation.request_membership();
    CHECK(find_learner(simulation.machines()[leader].raft->membership(), new_id));
    REQUIRE(simulation.run_until(bound, [&] { return simulation.converged(); }));
    const Membership membership = simulation.machines()[leader].raft->membership();
    CHECK(find_voter(membership, new_id));
    CHECK_FALSE(find_voter(membership, old_id));
    no_violation(simulation);
}

TEST_CASE("a replacement machine at another address becomes a voter and the old one is removed") {
    Simulation simulation(3, 6);
    const MachineIndex leader = await_leader(simulation);
    simulation.replace(leader);
    REQUIRE(simulation.run_until(bound, [&] {
        simulation.request_membership();
        return simulation.converged();
    }));
    CHECK(commits(simulation, *simulation.leader()));
    CHECK(simulation.machines()[*simulation.leader()].raft->membership().voters.size() == 3);
    no_violation(simulation);
}

TEST_CASE("leadership transfer makes the chosen replica leader without an election timeout") {
    Simulation simulation(5, 7);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex next = next_after(leader, 5);
    const ReplicaId id = simulation.machines()[next].replica.id;
    simulation.call_raft(leader,
                         [&](Raft& raft) { CHECK_FALSE(raft.transfer_leadership(simulation.now(), id)); });
    CHECK_FALSE(simulation.propose(leader));
    CHECK(simulation.run_until(milliseconds(200), [&] { return simulation.leader() == next; }));
    CHECK(commits(simulation, next));
    no_violation(simulation);
}

TEST_CASE("after step_down another replica becomes leader soon") {
    Simulation simulation(3, 8);
    const MachineIndex leader = await_leader(simulation);
    simulation.call_raft(leader, [&](Raft& raft) { raft.step_down(simulation.now()); });
    CHECK(simulation.run_until(
        milliseconds(300), [&] { return simulation.leader().has_value() && simulation.leader() != leader; }));
    no_violation(simulation);
}

TEST_CASE("a group whose machines are all killed at once and restarted after a second commits again") {
    Simulation simulation(7, 9);
    const MachineIndex leader = await_leader(simulation);
    REQUIRE(commits(simulation, leader));
    for (MachineIndex index = 0; index < 7; ++index) simulation.stop(index);
    simulation.run_for(milliseconds(1000));
    for (MachineIndex index = 0; index < 7; ++index) simulation.start(index);
    CHECK(commits(simulation, await_leader(simulation)));
    no_violation(simulation);
}

TEST_CASE("long round trips lengthen the election timeout: a distant group keeps its leader") {
    Simulation simulation(5, 10);
    simulation.network().shortest_delay = milliseconds(80);
    simulation.network().longest_delay = milliseconds(120);
    const MachineIndex leader = await_leader(simulation);
    const Term term = term_of(simulation, leader);
    simulation.network().loss = 0.2;
    simulation.run_for(milliseconds(60'000));
    CHECK(term_of(simulation, leader) == term);
    no_violation(simulation);
}

// Guards against a control plane that counts as in sync by an answer to a read of its previous process.
TEST_CASE("a replica that restarts does not take a late response to its previous life for one of its own") {
    constexpr std::uint64_t seeds = 20;
    int detected = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        CHECK_FALSE(restarts_serve_old_state(InjectedDefect::none, seed));
        detected += restarts_serve_old_state(InjectedDefect::mix_up_lives, seed);
    }
    CHECK(detected > 0);
}

}  // namespace
}  // namespace dewweir::consensus::testing
