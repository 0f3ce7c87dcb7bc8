// What gateways count, compared between versions in the same windows of time: each gateway corrected by what
// it did before the change beside the rest of its fleet, so that what meets all of them at once does not
// count, nor what was always so; and the fleet's whole beside its own forecast. Pure: counts are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/evidence.h"

namespace dewweir::rollout {

// One gateway's in one window.
struct Counts {
    double tries = 0, in_goal = 0, late = 0, bounced = 0, written_off = 0, gone = 0, sent_on = 0,
           executions = 0, calls = 0, over_quota = 0;
    double units_asked = 0, units_in = 0, units_counted = 0, memory_kb = 0;
    std::map<int, double> times;  // deliveries, by bucket

    double finished() const { return in_goal + late + bounced + written_off + gone; }
};

// What is compared. All are better when they are less.
enum class Measure : std::size_t {
    lost,
    bounced,
    written_off,
    slow,
    executions,
    calls,
    units,
    counted,
    memory,
    count
};
constexpr std::size_t measures = static_cast<std::size_t>(Measure::count);
const char* name_of(Measure measure);
const char* meaning_of(Measure measure);

struct Window {
    struct Sample {
        Counts counts;
        bool fresh = false;  // of the new version
    };
    std::int64_t index = 0;
    std::map<std::size_t, Sample> by_gateway;
};

struct JudgeTerms {
    double false_stops = 0.005;  // the chance that a whole rollout of an equal program is stopped, at most
    int stages = 4;              // among which that is divided
    // What a new version may be worse by, without being worse: a part of tries; a part of the old one's
    // figure for executions, calls, units; kB of memory.
    double tolerance = 0.01, tolerance_use = 0.05, tolerance_memory = 4096;
    double harm = 0.03;        // to pass, a loss of more than this part of tries must be ruled out
    int least_past = 15;       // windows before the change
    int least_seen = 10;       // windows in a stage
    double least_tries = 200;  // of the new ones in a stage
};

struct Finding {
    Measure measure;
    bool whole = false;  // the fleet beside its forecast, else new beside old
    double difference = 0, low = 0, high = 0, allowed = 0;
    double doubt = 0;     // the part of `allowed` that restarts alone may bring
    double strength = 0;  // logarithm of the odds against chance
    bool proven = false;

    // With few windows the interval is as wide as all that could be.
    bool interval_says_something() const { return high > low && high - low < 1000 * allowed; }
};

enum class Judgement { unknown, passes, worse, whole_worse };

class Judge {
  public:
    explicit Judge(const JudgeTerms& terms) : terms_(terms) {}

    // A window in which all were old.
    void past(const Window& window) { past_.push_back(window); }
    std::size_t past_seen() const { return past_.size(); }
    bool past_enough() const { return past_.size() >= static_cast<std::size_t>(terms_.least_past); }
    // A stage in which these are new; what was seen of the one before is put aside.
    void stage(std::vector<bool> fresh);
    // A window in which every gateway ran as the stage has it.
    void see(const Window& window);

    Judgement verdict() const;
    std::string why() const;  // in a sentence
    const std::vector<Finding>& findings() const { return findings_; }
    double tries() const { return tries_; }
    std::size_t seen() const { return seen_; }

  private:
    struct Test {
        double mean = 0, spread = 0, allowed = 0;
        double restarts = 0;               // the part of `allowed` that restarts alone may bring
        std::optional<Evidence> evidence;  // none where the past says nothing
        std::vector<double> differences;
    };
    std::optional<double> value(const Counts& counts, Measure measure) const;
    std::optional<double> between(const Window& window, Measure measure) const;
    std::optional<double> whole(const Window& window, Measure measure) const;
    Test test_of(Measure measure, bool whole) const;
    double quota_doubt() const;
    double error() const;
    void judge();

    JudgeTerms terms_;
    std::vector<Window> past_;
    std::vector<bool> fresh_;
    std::map<std::size_t, std::map<Measure, double>> own_;  // what each was beside its fleet
    int slow_from_ = 0;                                     // the bucket from which a delivery is slow
    double quota_doubt_ = 0;                                // of this stage
    std::vector<std::pair<Finding, Test>> tests_;
    std::vector<Finding> findings_;
    double tries_ = 0;
    std::size_t seen_ = 0;
};

}  // namespace dewweir::rollout
