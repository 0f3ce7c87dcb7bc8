// The trial: gateways of this very program among stand-ins on loopback, under load, with a script of
// troubles, and the verdict on the five rules. Owns the processes it has started and ends each of them,
// whatever happens.
#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::rig {

// A rolling change under way while the trial lasts: its own controller starts, ends and watches the gateways.
struct TrialRollout {
    std::string new_program;  // empty: the same
    double back_at = 0;       // seconds; it is taken back then. 0: it is not
    double least_time = 3;    // seconds, of a stage
    bool at_one_go = false;   // all in the first stage, as without stages
};

struct TrialPlan {
    std::string program;          // the gateway's own file
    int gateways = 2, hosts = 6;  // from 1
    double seconds = 30;          // of load
    double load = 1;              // times the usual
    std::uint64_t seed = 1;
    bool links =
        false;  // gateways reach their neighbours, and clients them, over links that a script can name
    bool members =
        false;  // gateways tell each other who is there and what they found, over links of their own
    bool verdicts = true;   // with members: what is found is told too
    bool rights = true;     // with these: parts of quotas move
    bool gathered = false;  // each customer comes to one gateway alone, though its quota is divided among all
    bool ceiling = false;   // a further plan, which has one
    std::optional<TrialRollout> rollout;
    std::string script_file;  // empty: the counter and a host die, another drains, a third is slow
    std::string json_file, chart_file, log_folder;  // empty: none is kept
    bool progress = true;
};

enum class TrialEnd { held = 0, broken = 1, cannot = 2, invalid = 3, cut_short = 4 };

// How a trial that was played ends, where several things hold: whoever cut it short knows that its figures are
// not whole, so that a late schedule (`on_schedule` false) does not hide it.
TrialEnd trial_end(bool rules_held, bool on_schedule, bool cut_short);

// All that a script for a trial of this size can name.
// `members`: also the links for datagrams between gateways, as `gateway-1 > gateway-2`, the lower number
// first. `rollout`: also the links of the new version's, as `new-gateway-1 > host-2`.
std::vector<std::string> trial_names(int gateways, int hosts, bool rollout = false, bool members = false);

// Prints what it finds to standard output, its progress to standard error. Throws errors::BadFile for a bad
// script, errors::OutOfRoom or errors::CannotStart for what the machine does not give (descriptors, a folder,
// a program).
TrialEnd run_trial(const TrialPlan& plan);

}  // namespace dewweir::rig
