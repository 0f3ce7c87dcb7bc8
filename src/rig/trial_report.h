// What a trial found, for people and as JSON.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "links.h"
#include "load.h"
#include "stage.h"
#include "trial.h"

namespace dewweir::rig {

struct TrialSeen {
    const TrialPlan& plan;
    const Load& load;
    const Referee& referee;
    const Stage& stage;
    const Links& links;
    std::vector<std::pair<double, std::string>>& events;
    std::vector<std::string>& faults;
    Time began;
    bool cut;
    std::string rollout;  // how far a rolling change has come; empty: there is none
};

// Prints it, and writes and draws what the plan asks for; what goes wrong in that is a fault of the trial.
TrialEnd tell(TrialSeen& seen);

}  // namespace dewweir::rig
