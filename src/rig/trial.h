// The trial: gateways of this very program among stand-ins on loopback, under load, with a script of
// troubles, and the verdict on the five rules. Owns the processes it has started and ends each of them,
// whatever happens.
#pragma once

#include <csignal>
#include <string>
#include <vector>

#include "dewweir/choice.h"

namespace dewweir::rig {

struct TrialPlan {
    std::string program;          // the gateway's own file
    int gateways = 2, hosts = 6;  // from 1
    double seconds = 30;          // of load
    double load = 1;              // times the usual
    std::uint64_t seed = 1;
    std::string script_file;  // empty: the counter and a host die, another drains, a third is slow
    std::string json_file, chart_file, log_folder;  // empty: none is kept
    bool progress = true;
};

enum class TrialEnd { held = 0, broken = 1, cannot = 2, invalid = 3, cut_short = 4 };

// Prints what it finds to standard output, its progress to standard error. Throws Complaints for a bad
// script, std::runtime_error for what the machine does not give (descriptors, a folder, a program).
TrialEnd run_trial(const TrialPlan& plan);

}  // namespace dewweir::rig
