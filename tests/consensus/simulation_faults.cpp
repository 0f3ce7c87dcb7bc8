// Faults of the simulated machines, planned leaves and replacements.
#include "consensus/simulation.h"

namespace dewweir::consensus::testing {
namespace {

constexpr milliseconds leave_interval{100};

}  // namespace

void Simulation::stop(MachineIndex index) {
    Machine& machine = machines_[index];
    machine.raft.reset();
    machine.changes.clear();
    machine.reads.clear();
    machine.last_read = 0;
    machine.disk.stop(draw(machine.disk.unsynced() + 1));
}

void Simulation::lose_power(MachineIndex index) {
    machines_[index].disk.stop(0);
    stop(index);
}

void Simulation::wipe(MachineIndex index) {
    stop(index);
    machines_[index].disk.wipe();
}

void Simulation::freeze(MachineIndex index, milliseconds span) {
    machines_[index].frozen_until = now_ + span;
}

void Simulation::hang_disk(MachineIndex index, milliseconds span) {
    machines_[index].disk_hangs_until = now_ + span;
}

void Simulation::replace(MachineIndex index) {
    wipe(index);
    machines_[index].removed = true;
    add_machine();
}

// The disk is full: any prefix of the waiting writes is on it, the rest is lost. When it accepts writes
// again, the owner writes the replica's complete state.
void Simulation::fill_disk(MachineIndex index, milliseconds span) {
    Machine& machine = machines_[index];
    machine.disk_refuses_until = std::max(machine.disk_refuses_until, now_ + span);
    if (!machine.raft) return;
    machine.disk.stop(draw(machine.disk.unsynced() + 1));
    const std::uint64_t incarnation = machine.incarnation;
    schedule(machine.disk_refuses_until, [this, index, incarnation] {
        if (machines_[index].incarnation != incarnation || !machines_[index].raft) return;
        if (now_ < machines_[index].disk_refuses_until) return;
        rewrite_disk(index);
    });
}

void Simulation::rewrite_disk(MachineIndex index) {
    Machine& machine = machines_[index];
    const Write full_state = machine.raft->full_state_write();
    machine.refused_through = full_state.sequence - 1;
    machine.disk.forget_unsynced();
    write(index, full_state);
    process_ready(index);
}

void Simulation::end_faults(MachineIndex index) {
    Machine& machine = machines_[index];
    const bool refused = now_ < machine.disk_refuses_until;
    machine.frozen_until = now_;
    machine.disk_hangs_until = now_;
    machine.disk_refuses_until = now_;
    if (refused && machine.raft) rewrite_disk(index);
    start(index);
}

// Starts a planned shutdown: the process asks for permission until it gets it or `grace` has passed.
void Simulation::leave(MachineIndex index, milliseconds grace) {
    Machine& machine = machines_[index];
    if (!machine.raft || machine.leaving) return;
    machine.leaving = true;
    ask_to_leave(index, machine.incarnation, now_ + grace);
}

void Simulation::ask_to_leave(MachineIndex index, std::uint64_t incarnation, TimePoint end) {
    Machine& machine = machines_[index];
    if (!machine.raft || machine.incarnation != incarnation) return;
    const bool frozen = now_ < machine.frozen_until;
    if (!frozen && (machine.raft->may_leave() || now_ >= end)) {
        const bool may = machine.raft->may_leave();
        if (may) ++planned_leaves_;
        // A replica that ends without permission keeps its disk: losing the disk as well would exceed the
        // fault budget.
        const bool permanently = machine.leaves_permanently && (may || can_lose_disk());
        if (permanently) {
            wipe(index);
            machines_[index].removed = true;
        } else {
            stop(index);
        }
        return;
    }
    if (!frozen) call_raft(index, [this](Raft& raft) { raft.prepare_to_leave(now_); });
    schedule(now_ + leave_interval,
             [this, index, incarnation, end] { ask_to_leave(index, incarnation, end); });
}

MachineIndex Simulation::add_machine() {
    const MachineIndex added = machines_.size();
    Machine& machine = machines_.emplace_back();
    machine.replica = new_replica("10.0.1." + std::to_string(added) + ":7000");
    machine.joins = true;
    by_address_[machine.replica.address] = added;
    start(added);
    return added;
}

void Simulation::cut(MachineIndex from, MachineIndex to) {
    network_.cuts.insert({machines_[from].replica.address, machines_[to].replica.address});
}

// Replicas that are not members ask to join, as their owners do in the control plane.
void Simulation::request_membership() {
    const std::optional<MachineIndex> at = leader();
    if (!at || now_ < machines_[*at].frozen_until) return;
    const Membership membership = machines_[*at].raft->membership();
    for (const Machine& machine : machines_) {
        if (machine.removed || machine.leaving || !machine.raft || is_member(membership, machine.replica.id))
            continue;
        call_raft(*at, [&](Raft& raft) { raft.propose_membership(now_, AddLearner{machine.replica}); });
        return;
    }
}

}  // namespace dewweir::consensus::testing
