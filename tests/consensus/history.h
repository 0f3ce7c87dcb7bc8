// A random history: faults and clients for some time, then a calm in which the group must become whole again.
#pragma once

#include <cstdint>
#include <vector>

#include "consensus/world.h"

namespace dewweir::consensus::testing {

struct HistoryResult {
    std::size_t machines = 0;
    std::vector<Violation> violations;
    bool recovered = false;  // within the bound after the last fault
    milliseconds recovery{0};
    std::size_t changes = 0;  // acknowledged
    std::size_t reads = 0;    // answered
    std::size_t faults = 0;
    std::size_t lost_disks = 0;
    std::size_t left = 0;  // as planned, when the group did without them
    Index committed = 0;
};

// The longest time from the last fault until all machines are voters that have applied everything, and a
// change proposed after it is acknowledged.
inline constexpr milliseconds recovery_bound{20'000};

HistoryResult run_history(std::uint64_t seed, Sabotage sabotage = Sabotage::none);

}  // namespace dewweir::consensus::testing
