#include "consensus/history.h"

#include <array>

namespace dewweir::consensus::testing {
namespace {

constexpr std::array<std::size_t, 3> group_sizes{3, 5, 7};
constexpr int steps = 300;
// One minute, with partitions of 14 to 25 s and hundreds of changes.
constexpr int long_history_steps = 1'200;
constexpr std::uint64_t long_history_interval = 8;  // every eighth seed of a group size
constexpr milliseconds grace{6'000};
constexpr milliseconds step_length{50};
constexpr double fault_probability = 0.12;   // per step
constexpr double repair_probability = 0.25;  // per fault and step

class History {
  public:
    History(std::uint64_t seed, InjectedDefect defect)
        : simulation_(group_sizes[seed % group_sizes.size()], seed, defect),
          long_((seed / group_sizes.size()) % long_history_interval == 0) {
        result_.machines = group_sizes[seed % group_sizes.size()];
    }

    HistoryResult run() {
        const int count = long_ ? long_history_steps : steps;
        for (int step = 0; step < count; ++step) {
            if (simulation_.draw_bool(long_ ? fault_probability / 4 : fault_probability)) add_fault();
            if (simulation_.draw_bool(repair_probability)) restart_any();
            const bool may_heal = simulation_.now() >= cuts_last_until_;
            if (may_heal && simulation_.draw_bool(repair_probability)) simulation_.network().cuts.clear();
            issue_requests();
            simulation_.request_membership();
            simulation_.run_for(step_length);
        }
        final_power_loss();
        recover_from_faults();
        result_.violations = simulation_.checker().violations();
        result_.changes = simulation_.checker().acknowledged();
        result_.reads = simulation_.checker().reads();
        result_.planned_leaves = simulation_.planned_leaves();
        result_.committed = simulation_.checker().last_committed();
        return result_;
    }

  private:
    MachineIndex any_machine() { return simulation_.draw(simulation_.machines().size()); }
    milliseconds up_to(std::uint64_t most) { return milliseconds(simulation_.draw(most) + 1); }

    // Sends requests to all replicas, including former leaders.
    void issue_requests() {
        for (MachineIndex index = 0; index < simulation_.machines().size(); ++index) {
            simulation_.propose(index);
            simulation_.read(index);
            simulation_.serve_confirmed_state(index);
            if (simulation_.draw_bool(0.3)) simulation_.repeat(index);
            if (simulation_.draw_bool(0.3)) simulation_.propose(index);
            if (simulation_.draw_bool(0.2)) simulation_.propose(index, simulation_.draw(4));
        }
    }

    void add_fault() {
        ++result_.faults;
        const MachineIndex one = any_machine();
        const MachineIndex other = any_machine();
        switch (simulation_.draw(17)) {
            case 0: simulation_.stop(one); break;
            case 1: simulation_.lose_power(one); break;
            case 2: all_lose_power(); break;
            case 3: simulation_.freeze(one, up_to(3000)); break;
            case 4: simulation_.hang_disk(one, up_to(4000)); break;
            case 5: simulation_.cut(one, other); break;
            case 6: isolate(one); break;
            case 7: degrade_network(); break;
            case 8: simulation_.network() = Network{}; break;
            case 9: lose_disk(one, false); break;
            case 10: lose_disk(one, true); break;
            case 11: transfer_leadership(one); break;
            case 12: step_down(one); break;
            case 13: stop_and_start(one); break;
            case 14: simulation_.fill_disk(one, up_to(4000)); break;
            case 15: simulation_.leave(one, grace); break;
            case 16: leave_permanently(one); break;
        }
    }

    void all_lose_power() {
        for (MachineIndex index = 0; index < simulation_.machines().size(); ++index)
            simulation_.lose_power(index);
    }

    void isolate(MachineIndex one) {
        const std::uint64_t directions = simulation_.draw(3);
        for (MachineIndex index = 0; index < simulation_.machines().size(); ++index) {
            if (directions != 0) simulation_.cut(one, index);
            if (directions != 1) simulation_.cut(index, one);
        }
        if (long_) cuts_last_until_ = simulation_.now() + milliseconds(14'000) + up_to(11'000);
    }

    // Adds the substitute first, as in a planned replacement.
    void leave_permanently(MachineIndex one) {
        Machine& machine = simulation_.machines()[one];
        if (!simulation_.can_lose_disk() || !machine.raft || machine.removed || machine.leaving) return;
        simulation_.add_machine();
        Machine& leaver = simulation_.machines()[one];
        leaver.leaves_permanently = true;
        simulation_.leave(one, grace);
    }

    void degrade_network() {
        Network& network = simulation_.network();
        network.loss = 0.01 * double(simulation_.draw(30));
        network.duplication = 0.01 * double(simulation_.draw(20));
        network.longest_delay = up_to(200);
    }

    // Loses one disk at a time, as the fault budget allows: only while all other machines have their disks
    // and are voters.
    void lose_disk(MachineIndex one, bool permanently) {
        if (!simulation_.can_lose_disk() || simulation_.machines()[one].removed) return;
        ++result_.lost_disks;
        if (simulation_.draw_bool(0.5)) all_lose_power();
        if (permanently) {
            simulation_.replace(one);
        } else {
            simulation_.wipe(one);
        }
    }

    void transfer_leadership(MachineIndex to) {
        const std::optional<MachineIndex> leader = simulation_.leader();
        if (!leader) return;
        const ReplicaId id = simulation_.machines()[to].replica.id;
        simulation_.call_raft(*leader, [&](Raft& raft) { raft.transfer_leadership(simulation_.now(), id); });
    }

    void step_down(MachineIndex one) {
        if (!simulation_.machines()[one].raft) return;
        simulation_.call_raft(one, [&](Raft& raft) { raft.step_down(simulation_.now()); });
    }

    void stop_and_start(MachineIndex one) {
        simulation_.stop(one);
        simulation_.start(one);
    }

    void restart_any() {
        const MachineIndex first = any_machine();
        const std::size_t count = simulation_.machines().size();
        for (std::size_t offset = 0; offset < count; ++offset) {
            const MachineIndex index = (first + offset) % count;
            const Machine& machine = simulation_.machines()[index];
            if (machine.raft || machine.removed) continue;
            simulation_.start(index);
            return;
        }
    }

    // The last fault follows the last acknowledged change immediately.
    void final_power_loss() {
        all_lose_power();
        lose_disk(any_machine(), false);
    }

    void recover_from_faults() {
        simulation_.network() = Network{};
        for (MachineIndex index = 0; index < simulation_.machines().size(); ++index) {
            simulation_.end_faults(index);
        }
        const TimePoint from = simulation_.now();
        while (simulation_.now() - from < recovery_bound && !result_.recovered) {
            for (MachineIndex index = 0; index < simulation_.machines().size(); ++index)
                simulation_.start(index);
            simulation_.request_membership();
            simulation_.run_for(step_length);
            if (simulation_.converged()) result_.recovered = commits_and_answers_read();
        }
        result_.recovery = std::chrono::duration_cast<milliseconds>(simulation_.now() - from);
    }

    bool commits_and_answers_read() {
        const std::size_t reads = simulation_.checker().reads();
        const std::optional<MachineIndex> leader = simulation_.leader();
        if (!leader || !simulation_.propose(*leader) || !simulation_.read(*leader)) return false;
        return simulation_.run_until(step_length, [&] { return simulation_.checker().reads() > reads; });
    }

    Simulation simulation_;
    bool long_;
    TimePoint cuts_last_until_{};
    HistoryResult result_;
};

}  // namespace

HistoryResult run_history(std::uint64_t seed, InjectedDefect defect) { return History(seed, defect).run(); }

}  // namespace dewweir::consensus::testing
