// Carries a rolling change out: looks at the fleet, lets the machine and the judge decide, acts, and keeps
// the position on disk, so that one killed anywhere goes on. One at a time, by a lock in the fleet's folder.
#pragma once

#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/counts_reader.h"
#include "fleet/processes.h"
#include "net/log.h"
#include "state/checked_file.h"

namespace dewweir::fleet {

enum class Outcome { done = 0, taken_back = 1, left = 4 };

class Controller {
  public:
    // Takes the lock and reads the journal. Throws errors::Held, errors::StateTorn, errors::StateNewer, and
    // errors::Refused where the fleet file is another than the one that the unfinished rollout began with.
    Controller(const Fleet& fleet, net::Log& log);
    bool over() const { return machine_->over(); }
    void must_be_open() const;  // throws errors::Refused where the rollout is over
    // Until the change is done or taken back, or `left` is set (the fleet stays as it is).
    Outcome run(const volatile std::sig_atomic_t& left);
    void hold(bool on);
    void back(const std::string& why);

  private:
    void look(Time now);
    void obey(Time now);
    void keep(Time now);
    void feed(const CountsReader::Counted& counted);
    void judge_anew();
    std::string stop_reason(Time now);
    void tell_status(Time now, const std::vector<rollout::Seen>& seen);

    const Fleet& fleet_;
    net::Log& log_;
    state::Lock lock_;
    state::Journal journal_;
    std::optional<rollout::Machine> machine_;
    rollout::Judge judge_;
    Processes processes_;
    CountsReader reader_;
    rollout::Position kept_;
    std::vector<CountsReader::Counted> counted_;  // since the rollout began
    Time began_ = 0, changed_ = 0;                // the first change; 0: none yet
    Time checked_ = 0, told_ = 0;
    bool judged_ = false;
    int steps_ = 0;  // in the text of each, so that a step done again is no repeat of a line
};

// Asks the controller that runs for something: hold, go_on or back. Throws errors::Unreachable where none
// runs.
void ask_controller(const Fleet& fleet, const std::string& what);
// What it has told last; nothing where it never ran.
std::optional<nlohmann::json> read_status(const Fleet& fleet);
std::string status_text(const nlohmann::json& status, bool runs);

}  // namespace dewweir::fleet
