// Repairs, replacements and planned leaves: which failures the group tolerates during and right after them.
#include <catch2/catch.hpp>

#include "consensus/simulation.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds bound{5'000};  // for an election, or for a machine to rejoin, without network faults
constexpr milliseconds catch_up{4'000};  // the platform's: the next machine may be lost after it
constexpr milliseconds grace{6'000};
constexpr milliseconds short_time{10};
constexpr milliseconds step{50};

MachineIndex await_leader(Simulation& simulation) {
    REQUIRE(simulation.run_until(bound, [&] { return simulation.leader().has_value(); }));
    REQUIRE(simulation.run_until(bound, [&] { return simulation.converged(); }));
    return *simulation.leader();
}

MachineIndex next_after(MachineIndex index, std::size_t machines) { return (index + 1) % machines; }

bool acknowledges(Simulation& simulation) {
    const std::size_t before = simulation.checker().acknowledged();
    const TimePoint end = simulation.now() + bound;
    while (simulation.now() < end) {
        simulation.request_membership();
        if (simulation.leader()) simulation.propose(*simulation.leader());
        if (simulation.run_until(step, [&] { return simulation.checker().acknowledged() > before; }))
            return true;
    }
    return false;
}

// Waits for `holds` while replicas that are not members keep asking to join.
bool await(Simulation& simulation, milliseconds within, const std::function<bool()>& holds) {
    const TimePoint end = simulation.now() + within;
    while (simulation.now() < end) {
        simulation.request_membership();
        if (simulation.run_until(step, holds)) return true;
    }
    return false;
}

bool converges(Simulation& simulation, milliseconds within) {
    return await(simulation, within, [&] { return simulation.converged(); });
}

void cut_both_directions(Simulation& simulation, MachineIndex one, MachineIndex other) {
    simulation.cut(one, other);
    simulation.cut(other, one);
}

void no_violation(Simulation& simulation) {
    for (const Violation& violation : simulation.checker().violations()) FAIL_CHECK(violation.text);
}

const Membership& membership_at(Simulation& simulation, MachineIndex index) {
    return simulation.machines()[index].raft->membership();
}

// Replaces a leaving voter by its substitute while a partition separates {leader, substitute} from {other,
// leaver}. Returns whether no property was violated.
bool replacement_during_partition_is_safe(InjectedDefect defect) {
    Simulation simulation(3, 11, defect);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex other = next_after(leader, 3);
    const MachineIndex leaver = next_after(other, 3);
    const MachineIndex substitute = simulation.add_machine();
    const ReplicaId id = simulation.machines()[substitute].replica.id;
    simulation.leave(leaver, grace);
    const auto votes = [&] { return find_voter(membership_at(simulation, leader), id) != nullptr; };
    if (!await(simulation, bound, votes)) return false;
    for (const MachineIndex one : {leader, substitute}) {
        cut_both_directions(simulation, one, other);
        cut_both_directions(simulation, one, leaver);
    }
    const TimePoint end = simulation.now() + bound;
    while (simulation.now() < end) {
        for (const MachineIndex index : {leader, other, leaver}) simulation.propose(index);
        simulation.run_for(milliseconds(50));
    }
    return simulation.checker().violations().empty();
}

TEST_CASE("replacing a voter needs both majorities: a partition never creates two groups") {
    CHECK(replacement_during_partition_is_safe(InjectedDefect::none));
    CHECK_FALSE(replacement_during_partition_is_safe(InjectedDefect::replace_without_joint_consensus));
}

// Only the leaver and the leader hold the last acknowledged changes. The leader loses its disk, and the
// leaver is told to shut down before the third replica and the substitute have caught up.
bool leaver_with_only_copy_is_safe(InjectedDefect defect) {
    Simulation simulation(3, 12, defect);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex behind = next_after(leader, 3);
    const MachineIndex leaver = next_after(behind, 3);
    for (const MachineIndex one : {leader, leaver}) cut_both_directions(simulation, one, behind);
    for (int count = 0; count < 5; ++count) REQUIRE(acknowledges(simulation));
    simulation.add_machine();
    simulation.machines()[leaver].leaves_permanently = true;
    simulation.leave(leaver, grace);
    simulation.wipe(leader);
    simulation.start(leader);
    simulation.run_for(milliseconds(1'000));
    simulation.network().cuts.clear();
    if (!converges(simulation, milliseconds(20'000))) return false;
    return acknowledges(simulation) && simulation.checker().violations().empty();
}

TEST_CASE("a leaving replica that holds the only copy stays until others have one") {
    CHECK(leaver_with_only_copy_is_safe(InjectedDefect::none));
    CHECK_FALSE(leaver_with_only_copy_is_safe(InjectedDefect::leave_without_confirmation));
}

TEST_CASE("a repair completes within catch_up, and right after it the group can lose the next disk") {
    for (const std::size_t machines : {3u, 5u, 7u}) {
        for (const bool at_another_address : {false, true}) {
            INFO(machines << " machines, " << (at_another_address ? "replaced" : "wiped"));
            Simulation simulation(machines, 13 + machines);
            const MachineIndex leader = await_leader(simulation);
            const MachineIndex lost = next_after(leader, machines);
            for (int count = 0; count < 30; ++count) REQUIRE(acknowledges(simulation));
            const TimePoint from = simulation.now();
            if (at_another_address) {
                simulation.replace(lost);
            } else {
                simulation.wipe(lost);
                simulation.start(lost);
            }
            REQUIRE(converges(simulation, catch_up));
            CHECK(simulation.now() - from < catch_up);
            simulation.run_for(milliseconds(simulation.draw(short_time.count())));
            simulation.wipe(next_after(lost, machines));
            simulation.start(next_after(lost, machines));
            CHECK(acknowledges(simulation));
            CHECK(converges(simulation, catch_up));
            no_violation(simulation);
        }
    }
}

TEST_CASE("groups of five and seven repair the loss of two disks at once within catch_up") {
    for (const std::size_t machines : {5u, 7u}) {
        Simulation simulation(machines, 29 + machines);
        const MachineIndex leader = await_leader(simulation);
        for (int count = 0; count < 30; ++count) REQUIRE(acknowledges(simulation));
        for (const MachineIndex lost : {leader, next_after(leader, machines)}) {
            simulation.wipe(lost);
            simulation.start(lost);
        }
        CHECK(converges(simulation, catch_up));
        CHECK(acknowledges(simulation));
        no_violation(simulation);
    }
}

TEST_CASE("a voter that is only partitioned away stays a voter while a failed one is replaced") {
    Simulation simulation(5, 41);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex partitioned = next_after(leader, 5);
    const MachineIndex failed = next_after(partitioned, 5);
    for (MachineIndex index = 0; index < 5; ++index) {
        if (index != partitioned) cut_both_directions(simulation, index, partitioned);
    }
    simulation.run_for(milliseconds(1'500));
    const ReplicaId failed_id = simulation.machines()[failed].replica.id;
    const ReplicaId partitioned_id = simulation.machines()[partitioned].replica.id;
    simulation.replace(failed);
    simulation.run_for(milliseconds(18'500));
    CHECK(find_voter(membership_at(simulation, leader), partitioned_id));
    CHECK(membership_at(simulation, leader).voters.size() == 5);
    simulation.network().cuts.clear();
    CHECK(converges(simulation, bound));
    CHECK_FALSE(find_voter(membership_at(simulation, *simulation.leader()), failed_id));
    CHECK(find_voter(membership_at(simulation, *simulation.leader()), partitioned_id));
    no_violation(simulation);
}

TEST_CASE("a long absence of two voters of five does not shrink the group") {
    Simulation simulation(5, 43);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex first = next_after(leader, 5);
    const MachineIndex second = next_after(first, 5);
    simulation.stop(first);
    simulation.stop(second);
    simulation.run_for(milliseconds(40'000));
    CHECK(membership_at(simulation, leader).voters.size() == 5);
    simulation.start(first);
    simulation.start(second);
    CHECK(converges(simulation, bound));
    no_violation(simulation);
}

TEST_CASE("a planned replacement ends without the leaver and with as many voters as before") {
    Simulation simulation(3, 47);
    const MachineIndex leader = await_leader(simulation);
    simulation.add_machine();
    simulation.machines()[leader].leaves_permanently = true;
    simulation.leave(leader, grace);
    REQUIRE(converges(simulation, bound));
    CHECK(simulation.planned_leaves() == 1);
    CHECK(membership_at(simulation, *simulation.leader()).voters.size() == 3);
    CHECK(acknowledges(simulation));
    no_violation(simulation);
}

TEST_CASE("a removed replica does not disturb the group after all machines lost power") {
    Simulation simulation(3, 53);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex removed = next_after(leader, 3);
    const ReplicaId old_id = simulation.machines()[removed].replica.id;
    for (MachineIndex index = 0; index < 3; ++index) cut_both_directions(simulation, index, removed);
    simulation.add_machine();
    const auto is_removed = [&] { return !is_member(membership_at(simulation, leader), old_id); };
    REQUIRE(await(simulation, milliseconds(20'000), is_removed));
    simulation.network().cuts.clear();
    for (MachineIndex index = 0; index < 4; ++index) simulation.lose_power(index);
    for (MachineIndex index = 0; index < 4; ++index) simulation.start(index);
    CHECK(acknowledges(simulation));
    const Term term = simulation.machines()[*simulation.leader()].raft->term();
    simulation.run_for(milliseconds(10'000));
    CHECK(simulation.machines()[*simulation.leader()].raft->term() == term);
    no_violation(simulation);
}

TEST_CASE("a replica with a full disk follows without acknowledging and recovers by itself") {
    Simulation simulation(3, 59);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex full = next_after(leader, 3);
    simulation.fill_disk(full, milliseconds(6'000));
    for (int count = 0; count < 20; ++count) REQUIRE(acknowledges(simulation));
    CHECK(simulation.machines()[full].state.version > 10);
    simulation.stop(next_after(full, 3) == leader ? next_after(leader, 3) : next_after(full, 3));
    CHECK(simulation.machines()[full].raft != nullptr);
    const std::size_t before = simulation.checker().acknowledged();
    simulation.propose(leader);
    simulation.run_for(milliseconds(1'000));
    CHECK(simulation.checker().acknowledged() == before);
    simulation.run_for(milliseconds(6'000));
    CHECK(acknowledges(simulation));
    no_violation(simulation);
}

TEST_CASE("five hundred changes with snapshots while a member restarts at any step of the transfer") {
    Simulation simulation(3, 61);
    const MachineIndex leader = await_leader(simulation);
    const MachineIndex member = next_after(leader, 3);
    for (int round = 0; round < 25; ++round) {
        simulation.stop(member);
        for (int count = 0; count < 20; ++count) REQUIRE(acknowledges(simulation));
        for (int stops = 0; stops < 3; ++stops) {
            simulation.start(member);
            simulation.run_for(milliseconds(simulation.draw(60)));
            simulation.lose_power(member);
        }
        simulation.start(member);
        REQUIRE(converges(simulation, bound));
    }
    CHECK(simulation.checker().acknowledged() >= 500);
    no_violation(simulation);
}

}  // namespace
}  // namespace dewweir::consensus::testing
