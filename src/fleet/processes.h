// The gateways of a fleet as processes on this machine: what runs now by the identity each holds, and how one
// is started and ended. It must never start one twice: a gateway holds its identity as long as it lives, and
// a second one ends by that.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_file.h"

namespace dewweir::fleet {

class Processes {
  public:
    explicit Processes(const Fleet& fleet) : fleet_(fleet) {}

    // `unseen` is said of each that runs and does not answer; whether its log goes on is for the caller to
    // tell.
    std::vector<rollout::Seen> look();
    // Throws errors::CannotStart, errors::OutOfRoom; a start that comes to nothing later is seen by `look`.
    void act(const rollout::Act& act);
    // The gateways' processes go on; those of ours that have ended are taken off the system's table.
    int pid(std::size_t member) const { return pids_.contains(member) ? pids_.at(member) : 0; }

  private:
    void start(std::size_t member, bool fresh);
    void end(std::size_t member, int signal);
    std::string last_words(std::size_t member) const;

    const Fleet& fleet_;
    std::map<std::size_t, int> pids_;  // who holds each identity, as last seen
    struct Child {
        int pid;
        bool fresh;
        bool ended = false;
    };
    std::map<std::size_t, Child> children_;
    std::map<std::size_t, std::string> expected_[2];  // settings' digests
};

// Runs a command line to its end, a second at the most; its exit code and last line.
std::pair<int, std::string> run_check(const std::vector<std::string>& command);

}  // namespace dewweir::fleet
