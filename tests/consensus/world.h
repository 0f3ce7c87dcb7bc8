// A group of replicas in virtual time, with clients of a compare-and-set register: one seed, one history.
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

// A fault of the owner's, put in to show that the checker sees it.
enum class Sabotage : std::uint8_t {
    none,
    old_id_after_wipe,
    persisted_before_sync,
    read_without_quorum,
    serve_while_leader_is_heard,  // a follower shows its state because it hears a leader
    replace_without_joint_consensus,         // without the joint step
    leave_unasked,
};

using MachineIndex = std::size_t;

// So many of the newest changes are known by their content, so that a repeated one is acknowledged again.
constexpr std::size_t remembered_changes = 4;

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
    std::unique_ptr<Raft> raft;  // null: not running
    std::uint64_t life = 0;      // counts starts
    bool gone = false;           // removed for good
    bool joins = false;          // its replica is not of the first membership
    TimePoint frozen_until{};
    TimePoint disk_hangs_until{};
    TimePoint disk_refuses_until{};
    WriteSequence refused_through = 0;  // writes that the disk never took; a later one holds all of them
    bool leaving = false;
    bool leaves_for_good = false;
    TimePoint tick_at = TimePoint::max();
    Register state;
    Index applied = 0;
    std::map<Index, PendingChange> changes;
    std::map<ReadToken, PendingRead> reads;
};

struct Network {
    double loss = 0;
    double duplication = 0;
    milliseconds shortest_delay{1};
    milliseconds longest_delay{10};
    std::set<std::pair<std::string, std::string>> cuts;  // from, to
};

class World {
  public:
    World(std::size_t machines, std::uint64_t seed, Sabotage sabotage = Sabotage::none);

    void run_for(milliseconds span);
    // Whether the condition came to hold within the span; asked after every event.
    bool run_until(milliseconds span, const std::function<bool()>& holds);

    TimePoint now() const { return now_; }
    Checker& checker() { return checker_; }
    Network& network() { return network_; }
    std::vector<Machine>& machines() { return machines_; }
    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    bool chance(double probability) { return double(draw(1'000'000)) < probability * 1e6; }

    void stop(MachineIndex index);        // the process dies; some unsynced writes last
    void lose_power(MachineIndex index);  // no unsynced write lasts
    void start(MachineIndex index);
    void wipe(MachineIndex index);  // stops, and loses the disk
    void freeze(MachineIndex index, milliseconds span);
    void hang_disk(MachineIndex index, milliseconds span);
    void replace(MachineIndex index);  // gone for good; a machine at another address comes instead
    void cut(MachineIndex from, MachineIndex to);
    void fill_disk(MachineIndex index, milliseconds span);
    void end_faults(MachineIndex index);  // of the machine and its disk
    void leave(MachineIndex index, milliseconds grace);
    MachineIndex add_machine();

    // The operator's and the clients' calls.
    void repair_membership();
    bool propose(MachineIndex index);  // on top of the newest version known
    bool propose(MachineIndex index, Version expected);
    bool repeat(MachineIndex index);  // of one of the newest changes sent
    bool read(MachineIndex index);
    void serve_state(MachineIndex index);
    std::size_t left() const { return left_; }  // as planned, with leave

    std::optional<MachineIndex> leader() const;  // of the highest term
    // Every running machine's replica is a voter for the leader and has applied all that the leader has, and
    // no other replica is a member.
    bool whole() const;
    // Every machine has its disk, and the voters are just the replicas on them: one more disk may be lost.
    bool may_lose_disk() const;
    // Lets the machine's replica be used by a call, then does what it asks for.
    void with(MachineIndex index, const std::function<void(Raft&)>& call);

  private:
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const Event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void post(TimePoint at, std::function<void()> run);
    void on_machine(MachineIndex index, std::uint64_t life, const std::function<void(Raft&)>& run);
    void drain(MachineIndex index);
    void transmit(const Envelope& envelope);
    void write(MachineIndex index, const Write& write);
    void apply(Machine& machine, const Entry& entry);
    void answer_reads(Machine& machine);
    void schedule_tick(MachineIndex index);
    Replica new_replica(const std::string& address);
    void rewrite_disk(MachineIndex index);
    void ask_to_leave(MachineIndex index, std::uint64_t life, TimePoint end);
    bool send_change(MachineIndex index, const Change& change, bool repeat);

    TimePoint now_{};
    std::mt19937_64 random_;
    Sabotage sabotage_;
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
    ReadToken next_token_ = 1;
    std::vector<Change> sent_;  // the newest changes
    std::size_t left_ = 0;
};

}  // namespace dewweir::consensus::testing
