// The stages of a rolling change: what is to be done next, from what runs now. It looks at what is, not at
// what it has asked for, so that one begun anew after a kill, knowing no more than its position, goes on
// where the other was. Pure: moments, sightings and verdicts are handed in.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dewweir/decisions.h"
#include "rollout/comparison.h"

namespace dewweir::rollout {

enum class Version { none, old, fresh, other };
const char* name_of(Version version);

// One gateway as it is seen.
struct Seen {
    Version runs = Version::none;   // what holds its identity now
    bool ready = false;             // it says so
    Version ended = Version::none;  // runs none: what ran last, and has ended
    bool start_failed = false;      // runs none: the last start came to nothing
    std::string last_words;
    // Nobody answers where it is asked, and yet its log goes on: it is the way there that is cut, or it is
    // not yet known which. Not ready.
    bool unseen = false;
};

enum class Phase { past, forward, watch, back, done, taken_back };
const char* name_of(Phase phase);

// All of a rollout that has to last.
struct Position {
    Phase phase = Phase::past;
    std::size_t stage = 0;
    bool held = false;
    Time since = 0;                         // of the phase
    std::string why;                        // of going back
    std::map<std::size_t, Time> leaving{};  // told to end, when, and not seen to have ended yet
    bool operator==(const Position&) const = default;
};

struct MachineTerms {
    std::vector<std::size_t> stages;  // how many are new at the end of each, rising; the last one is all
    Time least_time = 300000, longest = 6000000;  // of a stage
    Time ready_within = 100000, end_within = 50000;
    std::size_t down_at_once = 1;
    std::size_t stay = 0;  // so many must be ready at any time
};

struct Act {
    enum class What { end, kill, start } what;
    std::size_t gateway;
    Version version = Version::none;  // of a start
    bool operator==(const Act&) const = default;
};

class Machine {
  public:
    Machine(const MachineTerms& terms, std::size_t gateways, Time now, const Position& at);

    // What is to be done now. `stop`: a reason from elsewhere to stop at once, or empty.
    std::vector<Act> step(Time now, const std::vector<Seen>& seen, Judgement verdict, const std::string& why,
                          bool past_enough, const std::string& stop);
    void hold(bool on) { at_.held = on; }
    void back(Time now, const std::string& why);

    const Position& position() const { return at_; }
    bool over() const { return at_.phase == Phase::done || at_.phase == Phase::taken_back; }
    Version wanted(std::size_t gateway) const;
    std::vector<bool> fresh() const;  // by gateway, as the stage has it
    // Whether all run as the stage has it, and are ready.
    bool settled(const std::vector<Seen>& seen) const;
    const std::string& waits_for() const { return waits_; }

  private:
    struct One {
        Time asked_start = 0, starting_since = 0, unready_since = 0;  // 0: not
        int failed = 0;                                               // starts in a row
    };
    void enter(Time now, Phase phase);
    std::string at_fault(Time now, const std::vector<Seen>& seen);
    std::vector<Act> replace(Time now, const std::vector<Seen>& seen);

    MachineTerms terms_;
    Position at_;
    std::vector<One> all_;
    std::string waits_;
};

}  // namespace dewweir::rollout
