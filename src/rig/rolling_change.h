// A rolling change under way in a trial: writes the fleet file, starts `rollout start` as a process of its
// own, tells what it does, and takes it back when the trial says so. Owns the controller's process; the
// gateways are the controller's, and the trial's to end.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "gateways.h"
#include "trial.h"

namespace dewweir::rig {

class RollingChange {
  public:
    // `program`: what becomes the sub-commands, and what the gateways run unless the plan names another.
    RollingChange(const TrialRollout& plan, std::string program, std::string folder);
    ~RollingChange();
    RollingChange(const RollingChange&) = delete;

    // `old_one`, `new_one`: the platform's JSON of either version; both listen at `at`.
    void add(Gateways& gateways, const std::string& name, const tcp::endpoint& at, const std::string& old_one,
             const std::string& new_one);
    // Throws errors::CannotStart, errors::OutOfRoom.
    void start();
    void back() { call("back"); }  // a word to the controller; it does the rest
    // Lines of the controller's log that have come since, as what it says of phases, acts and faults.
    std::vector<std::string> news();
    bool over();
    // The controller leaves the fleet as it is, within so long, or is killed. Its exit code, or -1: it was
    // killed.
    int end(Time most);
    // done, taken back, or what phase it was in.
    const std::string& phase() const { return phase_; }

  private:
    void write(const std::string& file, const std::string& text) const;
    pid_t call(const char* what);

    TrialRollout plan_;
    std::string program_, folder_, members_, phase_ = "not begun";
    pid_t pid_ = -1;
    int code_ = -1;
    long read_ = 0;
};

}  // namespace dewweir::rig
