// Simulates a group of replicas and clients of a replicated compare-and-set register in virtual time. A seed
// determines the whole run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/checker.h"
#include "consensus/disk.h"

namespace dewweir::consensus::testing {

// A defect put into a replica or its owner to show that the checker detects it.
enum class InjectedDefect : std::uint8_t {
    none,
    reuse_id_after_disk_loss,
    persisted_before_sync,
    read_without_quorum,
    serve_unconfirmed_state,          // a replica serves its state because it knows a leader
    replace_without_joint_consensus,  // SafetyGuards::joint_consensus is off
    leave_without_confirmation,
    mix_up_lives,  // SafetyGuards::tell_lives_apart is off
};

using MachineIndex = std::size_t;

// The register remembers this many of its newest changes, so that repeats of them are acknowledged again.
constexpr std::size_t max_remembered_changes = 4;

struct AcceptedChange {
    Version version = 0;
    Value value = 0;
    bool operator==(const AcceptedChange&) const = default;
};

struct Register {
    Version version = 0;
    Value value = 0;
    std::vector<AcceptedChange> recent{};
};

std::string encode(const Register& state);
Register decode_register(const std::string& text);

struct Change {
    Version expected = 0;
    Value value = 0;
};

struct PendingChange {
    Term term = 0;
    Value value = 0;
    Version known_at_start = 0;
    bool repeat = false;
};

struct PendingRead {
    Version known_at_start = 0;
    Index index = 0;
    bool safe = false;
};

struct Machine {
    Replica replica;
    Disk disk;
    std::unique_ptr<Raft> raft;     // null: not running
    std::uint64_t incarnation = 0;  // number of starts
    bool removed = false;           // permanently
    bool joins = false;             // its replica is not in the initial membership
    TimePoint frozen_until{};
    TimePoint disk_hangs_until{};
    TimePoint disk_refuses_until{};
    WriteSequence refused_through = 0;  // writes that never reached the disk; a later one covers them
    bool leaving = false;
    bool leaves_permanently = false;
    TimePoint tick_at = TimePoint::max();
    Register state;
    Index applied = 0;
    std::map<Index, PendingChange> changes;
    std::map<ReadToken, PendingRead> reads;
    ReadToken last_read = 0;  // counted from each start, as the owner does
};

struct Network {
    double loss = 0;
    double duplication = 0;
    milliseconds shortest_delay{1};
    milliseconds longest_delay{10};
    std::set<std::pair<std::string, std::string>> cuts;  // from, to
};

class Simulation {
  public:
    Simulation(std::size_t machines, std::uint64_t seed, InjectedDefect defect = InjectedDefect::none);

    void run_for(milliseconds span);
    // Runs until `holds`, evaluated after every event, is true; returns false if that takes longer than
    // `span`.
    bool run_until(milliseconds span, const std::function<bool()>& holds);

    TimePoint now() const { return now_; }
    Checker& checker() { return checker_; }
    Network& network() { return network_; }
    std::vector<Machine>& machines() { return machines_; }
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool draw_bool(double probability) { return double(draw(1'000'000)) < probability * 1e6; }

    void stop(MachineIndex index);        // the process dies; some unsynced writes reach the disk
    void lose_power(MachineIndex index);  // no unsynced write reaches the disk
    void start(MachineIndex index);
    void wipe(MachineIndex index);  // stops the machine and erases its disk
    void freeze(MachineIndex index, milliseconds span);
    void hang_disk(MachineIndex index, milliseconds span);
    void replace(MachineIndex index);  // removes it permanently and adds a machine at another address
    void cut(MachineIndex from, MachineIndex to);
    void fill_disk(MachineIndex index, milliseconds span);
    void end_faults(MachineIndex index);  // of the machine and its disk; starts it if it is stopped
    void leave(MachineIndex index, milliseconds grace);
    MachineIndex add_machine();

    // Requests of the operator and the clients.
    void request_membership();
    bool propose(MachineIndex index);  // a change to the newest known version
    bool propose(MachineIndex index, Version expected);
    bool repeat(MachineIndex index);  // sends one of the newest changes again
    bool read(MachineIndex index);
    void serve_confirmed_state(MachineIndex index);
    std::size_t planned_leaves() const { return planned_leaves_; }  // replicas that left with permission

    std::optional<MachineIndex> leader() const;  // the one with the highest term
    // Whether the replicas of all machines, and no others, are voters and have applied what the leader has.
    bool converged() const;
    // Whether the fault budget permits the loss of a disk: every machine has its disk, and exactly the
    // replicas on these disks are voters.
    bool can_lose_disk() const;
    // Calls `call` with the machine's replica, then performs the actions in its Ready.
    void call_raft(MachineIndex index, const std::function<void(Raft&)>& call);

  private:
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const Event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(TimePoint at, std::function<void()> run);
    void run_on_machine(MachineIndex index, std::uint64_t incarnation, const std::function<void(Raft&)>& run);
    void process_ready(MachineIndex index);
    void transmit(const Envelope& envelope);
    void write(MachineIndex index, const Write& write);
    void apply(Machine& machine, const Entry& entry);
    void answer_reads(Machine& machine);
    void schedule_tick(MachineIndex index);
    Replica new_replica(const std::string& address);
    void rewrite_disk(MachineIndex index);
    void ask_to_leave(MachineIndex index, std::uint64_t incarnation, TimePoint end);
    bool send_change(MachineIndex index, const Change& change, bool repeat);

    TimePoint now_{};
    std::mt19937_64 random_;
    InjectedDefect defect_;
    Options options_;
    Checker checker_;
    Network network_;
    Membership first_membership_;
    std::vector<Machine> machines_;
    std::map<std::string, MachineIndex> by_address_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t next_order_ = 0;
    ReplicaId next_id_ = 1;
    Value next_value_ = 1;
    std::vector<Change> sent_;  // the newest changes
    std::size_t planned_leaves_ = 0;
};

}  // namespace dewweir::consensus::testing
