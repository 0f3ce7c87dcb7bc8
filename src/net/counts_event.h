// The `counts` log event: what a gateway did in each interval of a few seconds, for `dewweir rollout` and
// other tools that compare gateways. Intervals end at multiples of their length since 1970, the same moments
// on every gateway.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "tallies.h"

namespace dewweir::net {

// Latency histogram with four buckets per doubling: bucket b covers 2^(b/4) to 2^((b+1)/4) tenths of a
// millisecond; the last one is unbounded.
constexpr int time_buckets = 88;
int time_bucket(Time took);

class CountsEvent : public ActivityObserver {
  public:
    // `goals`: latency goal of each route class, by its number.
    CountsEvent(Time interval, std::vector<Time> goals)
        : interval_(interval), latency_goals_(std::move(goals)) {}

    void request_received(double units) override {
        ++requests_;
        units_requested_ += units;
    }
    void attempt_started(bool first, double units) override {
        ++attempts_;
        first_attempts_ += first;
        units_sent_ += first ? units : 0;
    }
    void counter_called(double units) override {
        ++counter_calls_;
        units_counted_ += units;
    }
    void served(int route_class, Time took) override;
    void refused() override { ++refused_; }
    void failed() override { ++failed_; }
    void client_disconnected() override { ++disconnected_; }
    void report_decisions(const DecisionCounts& often) override;
    void report(Log& log, Time now) override;
    Time interval() const override { return interval_; }

  private:
    Time interval_;
    std::vector<Time> latency_goals_;
    std::int64_t requests_ = 0, within_goal_ = 0, over_goal_ = 0, refused_ = 0, failed_ = 0,
                 disconnected_ = 0, first_attempts_ = 0, attempts_ = 0, counter_calls_ = 0;
    double units_requested_ = 0, units_sent_ = 0, units_counted_ = 0;  // units
    DecisionCounts decisions_{};
    std::array<std::int64_t, time_buckets> latencies_{};
};

}  // namespace dewweir::net
