#include "control/instance_poller.h"

#include <algorithm>

#include "logging/log.h"

namespace dewweir::control {
namespace {

// The rest of the platform's rate limit is left to a deposed leader that has not yet noticed and still polls.
constexpr double used_rate_fraction = 0.7;
// The pause between the end of a reading and the next one is at least the interval divided by this.
constexpr int min_pause_divisor = 4;

}  // namespace

InstancePoller::InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform,
                               PollerOptions options, ReadingCallback on_reading, FailureCallback on_failure)
    : loop_(loop),
      platform_(platform),
      options_(std::move(options)),
      on_reading_(std::move(on_reading)),
      on_failure_(std::move(on_failure)),
      timer_(loop) {}

void InstancePoller::start(const Instances& known) {
    if (running_) return;
    running_ = true;
    last_listed_count_.reset();
    remember_zones(known);
    start_reading();
}

// Requests under way are left to finish; their results are ignored.
void InstancePoller::stop() {
    running_ = false;
    ++reading_id_;
    timer_.cancel();
}

// The zone filters of the requests to make in parallel: one without a filter for the whole list, or one per
// zone.
std::vector<std::optional<std::string>> InstancePoller::zone_queries() const {
    std::set<std::string> zones = options_.zones;
    zones.insert(listed_zones_.begin(), listed_zones_.end());
    const bool many_pages = page_size_ > 0 && last_listed_count_ > page_size_;
    if (zones.empty() || (last_listed_count_ && !many_pages)) return {std::nullopt};
    return {zones.begin(), zones.end()};
}

PageWalk* InstancePoller::idle_walk() {
    for (const auto& walk : walks_) {
        if (!walk->busy()) return walk.get();
    }
    walks_.push_back(std::make_unique<PageWalk>(loop_, platform_));
    return walks_.back().get();
}

void InstancePoller::start_reading() {
    const std::vector<std::optional<std::string>> queries = zone_queries();
    reading_ = {};
    reading_.started_at = loop_.now();
    walks_complete_ = true;
    pending_walks_ = queries.size();
    ++reading_id_;
    for (const std::optional<std::string>& zone : queries) {
        idle_walk()->start(zone, [this, id = reading_id_](PageWalkResult&& result) {
            if (id == reading_id_) walk_finished(std::move(result));
        });
    }
}

void InstancePoller::walk_finished(PageWalkResult&& result) {
    walks_complete_ = walks_complete_ && result.complete;
    reading_.pages += result.pages;
    reading_.instances.merge(result.instances);
    page_size_ = std::max(page_size_, result.page_size);
    if (--pending_walks_ > 0) return;
    if (walks_complete_) return finish_reading();
    logging::log(logging::Level::warning, logging::Event::instance_list_failed, {});
    last_listed_count_ = 0;
    on_failure_();
    schedule_next_reading();
}

void InstancePoller::remember_zones(const Instances& instances) {
    listed_zones_.clear();
    for (const auto& [id, instance] : instances) listed_zones_.insert(instance.zone);
}

void InstancePoller::finish_reading() {
    last_listed_count_ = reading_.instances.size();
    remember_zones(reading_.instances);
    on_reading_(reading_);
    schedule_next_reading();
}

void InstancePoller::schedule_next_reading() {
    if (!running_) return;
    const runtime::Time passed = loop_.now() - reading_.started_at;
    const runtime::Time wait = std::max(reading_interval() - passed, options_.interval / min_pause_divisor);
    timer_.start(wait, [this] { start_reading(); });
}

runtime::Time InstancePoller::reading_interval() const {
    if (options_.calls_per_s <= 0) return options_.interval;
    const double seconds = reading_.pages / (used_rate_fraction * options_.calls_per_s);
    return std::max(options_.interval, static_cast<runtime::Time>(seconds * runtime::tenths_per_second));
}

}  // namespace dewweir::control
