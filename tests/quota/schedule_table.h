// The table of the results of many schedules, for results/.
#pragma once

#include <map>
#include <string>

#include "quota/schedule.h"

namespace dewweir::quota::testing {

// The most requests that may be admitted in a span of the rules under a plan: the rules' bound, or more where
// the plan has faults (derived in docs/limits-over-all-gateways.md).
double derived_bound(const Plan& plan, const Quota& quota);

// Of one tenant in one schedule.
struct Measured {
    double of_rule = 0;     // the most in a span, as a fraction of what the rules allow
    double of_derived = 0;  // likewise, of derived_bound
};
Measured measure(const ScheduleResult& result, std::size_t tenant);

class ScheduleTable {
  public:
    void add(const ScheduleResult& result);
    // Throws std::runtime_error if the file cannot be written.
    void write(const std::string& path, const std::string& command, std::uint64_t schedules) const;

  private:
    struct Row {
        std::size_t tenants = 0;
        std::size_t over_rule = 0;
        std::size_t over_derived = 0;
        Measured worst;
        std::size_t asked = 0;
        std::size_t admitted = 0;
    };

    std::map<Kind, Row> by_kind_;
};

}  // namespace dewweir::quota::testing
