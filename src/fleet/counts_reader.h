// What the gateways of a fleet have counted, out of their logs: the windows in order, each once it can be
// whole.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_file.h"

namespace dewweir::fleet {

class CountsReader {
  public:
    explicit CountsReader(const Fleet& fleet)
        : fleet_(fleet), from_(fleet.members.size()), fresh_(fleet.members.size()) {}

    struct Counted {
        Time from, to;
        rollout::Window window;
    };
    // Reads on. Windows that ended long enough before `now` for every log to have told them, in order.
    std::vector<Counted> read(Time now);
    // Whether it has told counts within its last stretches, as one does that lives.
    bool alive(std::size_t member, Time now) const {
        return silent_from_.contains(member) && now < silent_from_.at(member);
    }
    double memory_mb(std::size_t member) const { return memory_.contains(member) ? memory_.at(member) : 0; }

  private:
    void line(std::size_t member, const std::string& text);

    const Fleet& fleet_;
    std::vector<long> from_;   // read up to here
    std::vector<bool> fresh_;  // by the last readiness told
    std::map<std::int64_t, Counted> open_;
    std::int64_t told_ = 0;
    std::map<std::size_t, double> memory_;
    std::map<std::size_t, Time> silent_from_;  // with nothing told until then, it is
};

}  // namespace dewweir::fleet
