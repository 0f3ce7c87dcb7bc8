// Runs a random history: a phase of faults and client requests, then a phase without faults in which the
// group must recover completely.
#pragma once

#include <cstdint>
#include <vector>

#include "consensus/simulation.h"

namespace dewweir::consensus::testing {

struct HistoryResult {
    std::size_t machines = 0;
    std::vector<Violation> violations;
    bool recovered = false;  // within recovery_bound after the last fault
    milliseconds recovery{0};
    std::size_t changes = 0;  // acknowledged
    std::size_t reads = 0;    // answered
    std::size_t faults = 0;
    std::size_t lost_disks = 0;
    std::size_t planned_leaves = 0;  // replicas that left with the leader's permission
    Index committed = 0;
};

// Limit for the time from the last fault until all machines are voters that have applied all entries and a
// new change is acknowledged.
inline constexpr milliseconds recovery_bound{20'000};

HistoryResult run_history(std::uint64_t seed, InjectedDefect defect = InjectedDefect::none);

}  // namespace dewweir::consensus::testing
