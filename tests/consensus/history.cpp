#include "consensus/history.h"

#include <array>

namespace dewweir::consensus::testing {
namespace {

constexpr std::array<std::size_t, 3> sizes{3, 5, 7};
constexpr int steps = 300;
constexpr int steps_of_long_history = 1'200;     // a minute, with cuts of 14 to 25 s and hundreds of changes
constexpr std::uint64_t long_history_every = 8;  // seeds
constexpr milliseconds grace{6'000};
constexpr milliseconds step_length{50};
constexpr double fault_chance = 0.12;   // a step
constexpr double repair_chance = 0.25;  // of a fault, a step

class History {
  public:
    History(std::uint64_t seed, Sabotage sabotage)
        : world_(sizes[seed % sizes.size()], seed, sabotage),
          long_((seed / sizes.size()) % long_history_every == 0) {
        result_.machines = sizes[seed % sizes.size()];
    }

    HistoryResult run() {
        const int count = long_ ? steps_of_long_history : steps;
        for (int step = 0; step < count; ++step) {
            if (world_.chance(long_ ? fault_chance / 4 : fault_chance)) add_fault();
            if (world_.chance(repair_chance)) restart_one();
            const bool may_heal = world_.now() >= cuts_last_until_;
            if (may_heal && world_.chance(repair_chance)) world_.network().cuts.clear();
            ask();
            world_.repair_membership();
            world_.run_for(step_length);
        }
        close();
        calm_down();
        result_.violations = world_.checker().violations();
        result_.changes = world_.checker().acknowledged();
        result_.reads = world_.checker().reads();
        result_.left = world_.left();
        result_.committed = world_.checker().last_committed();
        return result_;
    }

  private:
    MachineIndex any() { return world_.draw(world_.machines().size()); }
    milliseconds up_to(std::uint64_t most) { return milliseconds(world_.draw(most) + 1); }

    // Several proposers at once, also at replicas that lead no longer.
    void ask() {
        for (MachineIndex index = 0; index < world_.machines().size(); ++index) {
            world_.propose(index);
            world_.read(index);
            world_.serve_state(index);
            if (world_.chance(0.3)) world_.repeat(index);
            if (world_.chance(0.3)) world_.propose(index);
            if (world_.chance(0.2)) world_.propose(index, world_.draw(4));
        }
    }

    void add_fault() {
        ++result_.faults;
        const MachineIndex one = any();
        const MachineIndex other = any();
        switch (world_.draw(17)) {
            case 0: world_.stop(one); break;
            case 1: world_.lose_power(one); break;
            case 2: all_lose_power(); break;
            case 3: world_.freeze(one, up_to(3000)); break;
            case 4: world_.hang_disk(one, up_to(4000)); break;
            case 5: world_.cut(one, other); break;
            case 6: cut_off(one); break;
            case 7: spoil_network(); break;
            case 8: world_.network() = Network{}; break;
            case 9: lose_a_disk(one, false); break;
            case 10: lose_a_disk(one, true); break;
            case 11: hand_over(one); break;
            case 12: step_down(one); break;
            case 13: stop_and_start(one); break;
            case 14: world_.fill_disk(one, up_to(4000)); break;
            case 15: world_.leave(one, grace); break;
            case 16: leave_for_good(one); break;
        }
    }

    void all_lose_power() {
        for (MachineIndex index = 0; index < world_.machines().size(); ++index) world_.lose_power(index);
    }

    void cut_off(MachineIndex one) {
        const std::uint64_t ways = world_.draw(3);
        for (MachineIndex index = 0; index < world_.machines().size(); ++index) {
            if (ways != 0) world_.cut(one, index);
            if (ways != 1) world_.cut(index, one);
        }
        if (long_) cuts_last_until_ = world_.now() + milliseconds(14'000) + up_to(11'000);
    }

    // The substitute first, as in a planned replacement.
    void leave_for_good(MachineIndex one) {
        Machine& machine = world_.machines()[one];
        if (!world_.may_lose_disk() || !machine.raft || machine.gone || machine.leaving) return;
        world_.add_machine();
        Machine& leaver = world_.machines()[one];
        leaver.leaves_for_good = true;
        world_.leave(one, grace);
    }

    void spoil_network() {
        Network& network = world_.network();
        network.loss = 0.01 * double(world_.draw(30));
        network.duplication = 0.01 * double(world_.draw(20));
        network.longest_delay = up_to(200);
    }

    // One machine's disk at a time, as the budget allows: only while all others have theirs and take part.
    void lose_a_disk(MachineIndex one, bool for_good) {
        if (!world_.may_lose_disk() || world_.machines()[one].gone) return;
        ++result_.lost_disks;
        if (world_.chance(0.5)) all_lose_power();
        if (for_good) {
            world_.replace(one);
        } else {
            world_.wipe(one);
        }
    }

    void hand_over(MachineIndex to) {
        const std::optional<MachineIndex> leader = world_.leader();
        if (!leader) return;
        const ReplicaId id = world_.machines()[to].replica.id;
        world_.with(*leader, [&](Raft& raft) { raft.transfer_leadership(world_.now(), id); });
    }

    void step_down(MachineIndex one) {
        if (!world_.machines()[one].raft) return;
        world_.with(one, [&](Raft& raft) { raft.step_down(world_.now()); });
    }

    void stop_and_start(MachineIndex one) {
        world_.stop(one);
        world_.start(one);
    }

    void restart_one() {
        const MachineIndex first = any();
        const std::size_t count = world_.machines().size();
        for (std::size_t offset = 0; offset < count; ++offset) {
            const MachineIndex index = (first + offset) % count;
            const Machine& machine = world_.machines()[index];
            if (machine.raft || machine.gone) continue;
            world_.start(index);
            return;
        }
    }

    // The last fault, right after whatever was acknowledged.
    void close() {
        all_lose_power();
        lose_a_disk(any(), false);
    }

    void calm_down() {
        world_.network() = Network{};
        for (MachineIndex index = 0; index < world_.machines().size(); ++index) { world_.end_faults(index); }
        const TimePoint from = world_.now();
        while (world_.now() - from < recovery_bound && !result_.recovered) {
            for (MachineIndex index = 0; index < world_.machines().size(); ++index) world_.start(index);
            world_.repair_membership();
            world_.run_for(step_length);
            if (world_.whole()) result_.recovered = commits_and_reads();
        }
        result_.recovery = std::chrono::duration_cast<milliseconds>(world_.now() - from);
    }

    bool commits_and_reads() {
        const std::size_t reads = world_.checker().reads();
        const std::optional<MachineIndex> leader = world_.leader();
        if (!leader || !world_.propose(*leader) || !world_.read(*leader)) return false;
        return world_.run_until(step_length, [&] { return world_.checker().reads() > reads; });
    }

    World world_;
    bool long_;
    TimePoint cuts_last_until_{};
    HistoryResult result_;
};

}  // namespace

HistoryResult run_history(std::uint64_t seed, Sabotage sabotage) { return History(seed, sabotage).run(); }

}  // namespace dewweir::consensus::testing
