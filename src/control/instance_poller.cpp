#include "control/instance_poller.h"

#include <algorithm>

#include "logging/log.h"

namespace dewweir::control {
namespace {

// The rest is for a second leader that doesn't know yet that it is none.
constexpr double used_part_of_rate = 0.7;
// Between the end of a reading and the next one, as a part of the interval.
constexpr int least_pause_part = 4;

}  // namespace

InstancePoller::InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform,
                               PollerOptions options, Read read, Failed failed)
    : loop_(loop),
      platform_(platform),
      options_(std::move(options)),
      read_(std::move(read)),
      failed_(std::move(failed)),
      timer_(loop) {}

void InstancePoller::start(const Instances& known) {
    if (running_) return;
    running_ = true;
    listed_.reset();
    see_zones(known);
    begin();
}

// What is out goes on and is not listened to.
void InstancePoller::stop() {
    running_ = false;
    ++number_;
    timer_.cancel();
}

// What is asked for at once: the whole list, or each zone of it.
std::vector<std::optional<std::string>> InstancePoller::parts() const {
    std::set<std::string> zones = options_.zones;
    zones.insert(zones_seen_.begin(), zones_seen_.end());
    const bool many_pages = page_size_ > 0 && listed_ > page_size_;
    if (zones.empty() || (listed_ && !many_pages)) return {std::nullopt};
    return {zones.begin(), zones.end()};
}

PageWalk* InstancePoller::idle_walk() {
    for (const auto& walk : walks_) {
        if (!walk->busy()) return walk.get();
    }
    walks_.push_back(std::make_unique<PageWalk>(loop_, platform_));
    return walks_.back().get();
}

void InstancePoller::begin() {
    const std::vector<std::optional<std::string>> parts = this->parts();
    reading_ = {};
    reading_.begun_at = loop_.now();
    complete_ = true;
    outstanding_ = parts.size();
    ++number_;
    for (const std::optional<std::string>& part : parts) {
        idle_walk()->start(part, [this, number = number_](PageWalkResult&& result) {
            if (number == number_) walked(std::move(result));
        });
    }
}

void InstancePoller::walked(PageWalkResult&& result) {
    complete_ = complete_ && result.complete;
    reading_.pages += result.pages;
    reading_.instances.merge(result.instances);
    page_size_ = std::max(page_size_, result.page_size);
    if (--outstanding_ > 0) return;
    if (complete_) return whole();
    logging::log(logging::Level::warning, logging::Event::instance_list_failed, {});
    listed_ = 0;
    failed_();
    again_later();
}

void InstancePoller::see_zones(const Instances& instances) {
    zones_seen_.clear();
    for (const auto& [id, instance] : instances) zones_seen_.insert(instance.zone);
}

void InstancePoller::whole() {
    listed_ = reading_.instances.size();
    see_zones(reading_.instances);
    read_(reading_);
    again_later();
}

void InstancePoller::again_later() {
    if (!running_) return;
    const runtime::Time passed = loop_.now() - reading_.begun_at;
    const runtime::Time wait = std::max(interval() - passed, options_.interval / least_pause_part);
    timer_.start(wait, [this] { begin(); });
}

runtime::Time InstancePoller::interval() const {
    if (options_.calls_per_s <= 0) return options_.interval;
    const double seconds = reading_.pages / (used_part_of_rate * options_.calls_per_s);
    return std::max(options_.interval, static_cast<runtime::Time>(seconds * runtime::tenths_per_second));
}

}  // namespace dewweir::control
