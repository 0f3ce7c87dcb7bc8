// Polls the platform's list of instances. A list of one page is read with one request. A longer list, and the
// first one after a start, is read zone by zone in parallel, so that a reading takes little longer than the
// pages of the largest zone. Owns the connections to the platform. At most one process may poll, except for a
// short overlap after a change of leader: the platform's request rate limit is shared by all processes, and
// requests are charged.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/page_walk.h"

namespace dewweir::control {

// The result of reading the complete list once.
struct InstanceReading {
    Instances instances{};
    runtime::Time started_at = 0;  // the list is at least as new as the platform's state at this time
    unsigned pages = 0;            // requests that the reading took
};

struct PollerOptions {
    std::set<std::string> zones;  // configured zones that may contain instances
    runtime::Time interval = 0;   // between the starts of two readings
    // The platform's request rate limit for all processes together, of which a fraction is used; 0: no limit.
    double calls_per_s = 0;
};

class InstancePoller {
  public:
    using ReadingCallback = std::function<void(const InstanceReading&)>;
    using FailureCallback = std::function<void()>;

    // `on_reading` is called after every complete reading, `on_failure` after one in which any request
    // failed.
    InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform, PollerOptions options,
                   ReadingCallback on_reading, FailureCallback on_failure);

    // Starts polling; does nothing while already running. `known` is the last list this process received; its
    // zones are polled beside the configured ones.
    void start(const Instances& known);
    void stop();
    void set_zones(const std::set<std::string>& zones) { options_.zones = zones; }

  private:
    std::vector<std::optional<std::string>> zone_queries() const;
    PageWalk* idle_walk();
    void start_reading();
    void walk_finished(PageWalkResult&& result);
    void remember_zones(const Instances& instances);
    void finish_reading();
    void schedule_next_reading();
    runtime::Time reading_interval() const;

    runtime::EventLoop& loop_;
    asio::ip::tcp::endpoint platform_;
    PollerOptions options_;
    ReadingCallback on_reading_;
    FailureCallback on_failure_;
    std::vector<std::unique_ptr<PageWalk>> walks_;
    runtime::Timer timer_;
    bool running_ = false;
    std::uint64_t reading_id_ = 0;   // of the current or last reading; results of earlier ones are ignored
    std::size_t pending_walks_ = 0;  // of the current reading
    bool walks_complete_ = true;     // no finished walk of the current reading has failed
    InstanceReading reading_;
    std::set<std::string> listed_zones_;  // zones of the instances in the last complete list
    // Instances in the last reading; 0: it failed; nothing: none has finished since the start.
    std::optional<std::size_t> last_listed_count_;
    std::size_t page_size_ = 0;  // entries of the largest page that was followed by another; 0: not known
};

}  // namespace dewweir::control
