// Reads the platform's whole list at an interval. A list of one page is read by one call; a longer one, and
// the first one, zone by zone, all at once, so that a reading takes little longer than its largest zone's
// pages. Owns the connections to the platform. It must never run in more than one process at a time for long:
// calls are priced and limited for all together.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/page_walk.h"

namespace dewweir::control {

// A reading of the whole list.
struct InstanceReading {
    Instances instances{};
    runtime::Time begun_at = 0;  // the list shows at least what the platform showed then
    unsigned pages = 0;          // how many calls it took
};

struct PollerOptions {
    std::set<std::string> zones;  // that hosts may be in
    runtime::Time interval = 0;   // between the beginnings of two readings
    double calls_per_s = 0;       // that the platform takes from all processes; a part of them is used
};

class InstancePoller {
  public:
    using Read = std::function<void(const InstanceReading&)>;
    using Failed = std::function<void()>;

    InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform, PollerOptions options,
                   Read read, Failed failed);

    // `known`: what this process has heard of the list; hosts may be in its zones too.
    void start(const Instances& known);
    void stop();
    void set_zones(const std::set<std::string>& zones) { options_.zones = zones; }

  private:
    std::vector<std::optional<std::string>> parts() const;
    PageWalk* idle_walk();
    void begin();
    void walked(PageWalkResult&& result);
    void see_zones(const Instances& instances);
    void whole();
    void again_later();
    runtime::Time interval() const;

    runtime::EventLoop& loop_;
    asio::ip::tcp::endpoint platform_;
    PollerOptions options_;
    Read read_;
    Failed failed_;
    std::vector<std::unique_ptr<PageWalk>> walks_;
    runtime::Timer timer_;
    bool running_ = false;
    std::uint64_t number_ = 0;     // of the reading under way, or of the last one
    std::size_t outstanding_ = 0;  // walks of it
    bool complete_ = true;         // all of its walks that have ended
    InstanceReading reading_;
    std::set<std::string> zones_seen_;
    // Hosts in the last reading; 0: it failed; nothing: there was none since the start.
    std::optional<std::size_t> listed_;
    std::size_t page_size_ = 0;  // the largest page that another one followed; 0: not known
};

}  // namespace dewweir::control
