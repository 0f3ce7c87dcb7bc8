#include "consensus/simulation.h"

#include <algorithm>
#include <utility>

namespace dewweir::consensus::testing {
namespace {

constexpr Index entries_between_snapshots = 25;
constexpr milliseconds max_sync_duration{12};

}  // namespace

Simulation::Simulation(std::size_t machines, std::uint64_t seed, InjectedDefect defect)
    : random_(seed), defect_(defect) {
    options_.guards.joint_consensus = defect != InjectedDefect::replace_without_joint_consensus;
    options_.guards.confirm_before_leaving = defect != InjectedDefect::leave_without_confirmation;
    options_.guards.tell_lives_apart = defect != InjectedDefect::mix_up_lives;
    options_.max_append_bytes = 64;
    options_.max_inflight_appends = 4;
    options_.max_snapshot_chunk_bytes = 3;
    machines_.reserve(machines + 64);
    for (std::size_t count = 0; count < machines; ++count) {
        Machine& machine = machines_.emplace_back();
        machine.replica = new_replica("10.0.0." + std::to_string(count + 1) + ":7000");
        first_membership_.voters.push_back(machine.replica);
        by_address_[machine.replica.address] = count;
    }
    for (MachineIndex index = 0; index < machines; ++index) start(index);
}

Replica Simulation::new_replica(const std::string& address) { return {next_id_++, address}; }

void Simulation::schedule(TimePoint at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
}

void Simulation::run_for(milliseconds span) {
    run_until(span, [] { return false; });
}

bool Simulation::run_until(milliseconds span, const std::function<bool()>& holds) {
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.run();
        if (holds()) return true;
    }
    now_ = end;
    return holds();
}

// Calls `run` for the replica if the machine still runs the given incarnation; after the freeze, if the
// machine is frozen.
void Simulation::run_on_machine(MachineIndex index, std::uint64_t incarnation,
                                const std::function<void(Raft&)>& run) {
    const Machine& machine = machines_[index];
    if (!machine.raft || machine.incarnation != incarnation) return;
    if (now_ < machine.frozen_until) {
        const std::chrono::microseconds turn(draw(1000));  // delayed events run in random order
        schedule(machine.frozen_until + turn,
                 [this, index, incarnation, run] { run_on_machine(index, incarnation, run); });
        return;
    }
    call_raft(index, run);
}

void Simulation::call_raft(MachineIndex index, const std::function<void(Raft&)>& call) {
    call(*machines_[index].raft);
    process_ready(index);
}

void Simulation::start(MachineIndex index) {
    Machine& machine = machines_[index];
    if (machine.raft || machine.removed || now_ < machine.disk_refuses_until) return;
    const bool empty_disk = machine.disk.state().self.id == 0;
    const bool ran_before = machine.incarnation > 0;
    const bool reuses_id = defect_ == InjectedDefect::reuse_id_after_disk_loss;
    if (empty_disk && ran_before && !reuses_id) {
        machine.replica = new_replica(machine.replica.address);
        machine.joins = true;
    }
    machine.disk.set_self(machine.replica);
    ++machine.incarnation;
    machine.frozen_until = now_;
    const PersistentState& state = machine.disk.state();
    const Membership initial = machine.joins ? Membership{} : first_membership_;
    machine.raft = std::make_unique<Raft>(options_, state, initial, random_(), now_);
    machine.state = state.snapshot ? decode_register(state.snapshot->data) : Register{};
    machine.leaving = false;
    machine.leaves_permanently = false;
    machine.refused_through = 0;
    machine.applied = machine.raft->log().snapshot_index();
    machine.tick_at = TimePoint::max();
    process_ready(index);
}

void Simulation::process_ready(MachineIndex index) {
    Machine& machine = machines_[index];
    Raft& raft = *machine.raft;
    Ready ready = raft.take();
    if (ready.role_change && ready.role_change->role == Role::leader) checker_.leader_elected(raft);
    for (const Envelope& envelope : ready.messages) transmit(envelope);
    if (ready.restore) {
        machine.state = decode_register(ready.restore->data);
        machine.applied = ready.restore->index;
        machine.changes.clear();
    }
    for (const Entry& entry : ready.committed) {
        checker_.entry_applied(entry, raft.term());
        apply(machine, entry);
    }
    for (const SafeRead& safe : ready.reads) {
        const auto pending = machine.reads.find(safe.token);
        if (pending == machine.reads.end()) continue;
        pending->second.index = safe.index;
        pending->second.safe = true;
    }
    for (const ReadToken token : ready.failed_reads) machine.reads.erase(token);
    answer_reads(machine);
    if (ready.write) write(index, *ready.write);
    if (machine.applied >= raft.log().snapshot_index() + entries_between_snapshots) {
        raft.compact(machine.applied, encode(machine.state));
        process_ready(index);
        return;
    }
    schedule_tick(index);
}

void Simulation::schedule_tick(MachineIndex index) {
    Machine& machine = machines_[index];
    const TimePoint deadline = machine.raft->next_deadline();
    if (machine.tick_at <= deadline) return;
    machine.tick_at = deadline;
    const std::uint64_t incarnation = machine.incarnation;
    auto tick = [this, index](Raft& raft) {
        machines_[index].tick_at = TimePoint::max();
        raft.tick(now_);
    };
    schedule(deadline, [this, index, incarnation, tick] { run_on_machine(index, incarnation, tick); });
}

void Simulation::transmit(const Envelope& envelope) {
    const auto found = by_address_.find(envelope.to.address);
    if (found == by_address_.end()) return;
    const MachineIndex to = found->second;
    const int copies = draw_bool(network_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (draw_bool(network_.loss)) continue;
        const auto spread = std::uint64_t((network_.longest_delay - network_.shortest_delay).count()) + 1;
        const milliseconds delay = network_.shortest_delay + milliseconds(draw(spread));
        schedule(now_ + delay, [this, to, envelope] {
            if (network_.cuts.contains({envelope.from.address, envelope.to.address})) return;
            const auto receive = [this, envelope](Raft& raft) { raft.receive(now_, envelope); };
            run_on_machine(to, machines_[to].incarnation, receive);
        });
    }
}

void Simulation::write(MachineIndex index, const Write& write) {
    Machine& machine = machines_[index];
    if (write.entries) {
        for (const Entry& entry : write.entries->entries) {
            const std::optional<Term> previous_term = machine.raft->log().term_at(entry.index - 1);
            if (previous_term) checker_.entry_written(entry, *previous_term);
        }
    }
    if (now_ < machine.disk_refuses_until) return;  // rewritten completely once the disk accepts writes again
    machine.disk.submit(write);
    const WriteSequence sequence = write.sequence;
    const std::uint64_t incarnation = machine.incarnation;
    const TimePoint regular = now_ + milliseconds(1 + draw(max_sync_duration.count()));
    const TimePoint done = std::max(regular, machine.disk_hangs_until);
    auto report = [this, sequence](Raft& raft) { raft.persisted(now_, sequence); };
    schedule(done, [this, index, incarnation, sequence, report] {
        Machine& owner = machines_[index];
        if (owner.incarnation != incarnation || !owner.raft) return;
        if (now_ < owner.disk_refuses_until || sequence <= owner.refused_through) return;
        owner.disk.sync_through(sequence);
        run_on_machine(index, incarnation, report);
    });
    if (defect_ != InjectedDefect::persisted_before_sync) return;
    schedule(now_, [this, index, incarnation, report] { run_on_machine(index, incarnation, report); });
}

std::optional<MachineIndex> Simulation::leader() const {
    std::optional<MachineIndex> best;
    for (MachineIndex index = 0; index < machines_.size(); ++index) {
        const Raft* raft = machines_[index].raft.get();
        if (!raft || raft->role() != Role::leader) continue;
        if (!best || raft->term() > machines_[*best].raft->term()) best = index;
    }
    return best;
}

bool Simulation::converged() const {
    const std::optional<MachineIndex> at = leader();
    if (!at) return false;
    const Machine& leading = machines_[*at];
    const Membership& membership = leading.raft->membership();
    if (leading.raft->commit_index() < leading.raft->log().membership_index()) return false;
    std::size_t running = 0;
    for (const Machine& machine : machines_) {
        if (machine.removed) continue;
        ++running;
        const bool in_sync = machine.raft && machine.applied >= leading.applied;
        if (!in_sync || !find_voter(membership, machine.replica.id)) return false;
    }
    return membership.voters.size() == running && membership.learners.empty() && membership.outgoing.empty();
}

bool Simulation::can_lose_disk() const {
    const Membership& newest = checker_.membership();
    const Membership& membership = newest.voters.empty() ? first_membership_ : newest;
    std::size_t machines = 0;
    for (const Machine& machine : machines_) {
        if (machine.removed) continue;
        ++machines;
        const bool has_disk = machine.disk.state().self.id == machine.replica.id;
        if (!has_disk || !find_voter(membership, machine.replica.id)) return false;
    }
    return membership.voters.size() == machines && membership.learners.empty() && membership.outgoing.empty();
}

}  // namespace dewweir::consensus::testing
