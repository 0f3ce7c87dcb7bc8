// What happens to the machines of a world.
#include "consensus/world.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds leave_interval{100};

}  // namespace

void World::stop(MachineIndex index) {
    Machine& machine = machines_[index];
    machine.raft.reset();
    machine.changes.clear();
    machine.reads.clear();
    machine.disk.stop(draw(machine.disk.unsynced() + 1));
}

void World::lose_power(MachineIndex index) {
    machines_[index].disk.stop(0);
    stop(index);
}

void World::wipe(MachineIndex index) {
    stop(index);
    machines_[index].disk.wipe();
}

void World::freeze(MachineIndex index, milliseconds span) { machines_[index].frozen_until = now_ + span; }

void World::hang_disk(MachineIndex index, milliseconds span) {
    machines_[index].disk_hangs_until = now_ + span;
}

void World::replace(MachineIndex index) {
    wipe(index);
    machines_[index].gone = true;
    add_machine();
}

// The disk takes no more bytes: what waits is lost, or a first part of it is there. When it does again, the
// owner writes all that the replica has.
void World::fill_disk(MachineIndex index, milliseconds span) {
    Machine& machine = machines_[index];
    machine.disk_refuses_until = std::max(machine.disk_refuses_until, now_ + span);
    if (!machine.raft) return;
    machine.disk.stop(draw(machine.disk.unsynced() + 1));
    const std::uint64_t life = machine.life;
    post(machine.disk_refuses_until, [this, index, life] {
        if (machines_[index].life != life || !machines_[index].raft) return;
        if (now_ < machines_[index].disk_refuses_until) return;
        rewrite_disk(index);
    });
}

void World::rewrite_disk(MachineIndex index) {
    Machine& machine = machines_[index];
    const Write whole = machine.raft->full_state_write();
    machine.refused_through = whole.sequence - 1;
    machine.disk.forget_unsynced();
    write(index, whole);
    drain(index);
}

void World::end_faults(MachineIndex index) {
    Machine& machine = machines_[index];
    const bool refused = now_ < machine.disk_refuses_until;
    machine.frozen_until = now_;
    machine.disk_hangs_until = now_;
    machine.disk_refuses_until = now_;
    if (refused && machine.raft) rewrite_disk(index);
    start(index);
}

// The process is told to end: it asks until it may, or `grace` is over.
void World::leave(MachineIndex index, milliseconds grace) {
    Machine& machine = machines_[index];
    if (!machine.raft || machine.leaving) return;
    machine.leaving = true;
    ask_to_leave(index, machine.life, now_ + grace);
}

void World::ask_to_leave(MachineIndex index, std::uint64_t life, TimePoint end) {
    Machine& machine = machines_[index];
    if (!machine.raft || machine.life != life) return;
    const bool frozen = now_ < machine.frozen_until;
    if (!frozen && (machine.raft->may_leave() || now_ >= end)) {
        const bool may = machine.raft->may_leave();
        if (may) ++left_;
        // One that has to go unheard keeps its disk here: taking that too would be a loss beyond the budget.
        const bool for_good = machine.leaves_for_good && (may || may_lose_disk());
        if (for_good) {
            wipe(index);
            machines_[index].gone = true;
        } else {
            stop(index);
        }
        return;
    }
    if (!frozen) with(index, [this](Raft& raft) { raft.prepare_to_leave(now_); });
    post(now_ + leave_interval, [this, index, life, end] { ask_to_leave(index, life, end); });
}

MachineIndex World::add_machine() {
    const MachineIndex added = machines_.size();
    Machine& machine = machines_.emplace_back();
    machine.replica = new_replica("10.0.1." + std::to_string(added) + ":7000");
    machine.joins = true;
    by_address_[machine.replica.address] = added;
    start(added);
    return added;
}

void World::cut(MachineIndex from, MachineIndex to) {
    network_.cuts.insert({machines_[from].replica.address, machines_[to].replica.address});
}

// Replicas that are no members ask to be taken in, as their owners do.
void World::repair_membership() {
    const std::optional<MachineIndex> at = leader();
    if (!at || now_ < machines_[*at].frozen_until) return;
    const Membership membership = machines_[*at].raft->membership();
    for (const Machine& machine : machines_) {
        if (machine.gone || machine.leaving || !machine.raft || is_member(membership, machine.replica.id))
            continue;
        with(*at, [&](Raft& raft) { raft.propose_membership(now_, AddLearner{machine.replica}); });
        return;
    }
}

}  // namespace dewweir::consensus::testing
