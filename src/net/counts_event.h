// The counts event: what a gateway did in each stretch of a few seconds, for `dewweir rollout` and whoever
// else compares gateways. Stretches end at the same moments everywhere, multiples of their length since 1970.
// Owns the counts; it must never hold a request.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "tallies.h"

namespace dewweir::net {

// Times in buckets of equal ratio, four to a doubling, from 0.1 ms: bucket b holds from 2^(b/4) to
// 2^((b+1)/4) tenths of a millisecond, the last one all above.
constexpr int time_buckets = 88;
int time_bucket(Time took);

class CountsEvent : public Tallies {
  public:
    // `goals`: of the route classes, by number.
    CountsEvent(Time every, std::vector<Time> goals) : every_(every), goals_(std::move(goals)) {}

    void request_received(double units) override { ++tries_, asked_ += units; }
    void attempt_started(bool first, double units) override {
        ++attempts_, sent_on_ += first, in_ += first ? units : 0;
    }
    void counted(double units) override { ++calls_, counted_ += units; }
    void served(int route_class, Time took) override;
    void refused() override { ++refused_; }
    void failed() override { ++failed_; }
    void client_gone() override { ++gone_; }
    void report_decisions(const DecisionCounts& often) override;
    void tell(Log& log, Time now) override;
    Time every() const override { return every_; }

  private:
    Time every_;
    std::vector<Time> goals_;
    std::int64_t tries_ = 0, in_goal_ = 0, late_ = 0, refused_ = 0, failed_ = 0, gone_ = 0, sent_on_ = 0,
                 attempts_ = 0, calls_ = 0;
    double asked_ = 0, in_ = 0, counted_ = 0;  // units
    DecisionCounts decided_{};
    std::array<std::int64_t, time_buckets> times_{};
};

}  // namespace dewweir::net
