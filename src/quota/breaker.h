// Circuit breaker before the gateway that holds a tenant's counts: opens after consecutive failures, lets one
// probe call through after a pause, closes with the first answer. Pure.
#pragma once

#include "quota/sliding_count.h"

namespace dewweir::quota {

struct BreakerOptions {
    // Consecutive failures that open the breaker.
    int failures_to_open = 3;
    // From the opening, or a failed probe, until the next probe.
    std::chrono::milliseconds pause{500};
};

class Breaker {
  public:
    enum class State : std::uint8_t { closed, open, probing };

    explicit Breaker(const BreakerOptions& options = {}) : options_(options) {}

    // Whether a call may be made now; the first one after the pause is the probe.
    bool allows(TimePoint now) {
        if (state_ == State::closed) return true;
        if (state_ == State::probing || now < retry_at_) return false;
        state_ = State::probing;
        return true;
    }
    void succeeded() {
        state_ = State::closed;
        failures_ = 0;
    }
    void failed(TimePoint now) {
        ++failures_;
        if (failures_ < options_.failures_to_open && state_ == State::closed) return;
        state_ = State::open;
        retry_at_ = now + options_.pause;
    }
    State state() const { return state_; }

  private:
    BreakerOptions options_;
    State state_ = State::closed;
    int failures_ = 0;
    TimePoint retry_at_{};
};

}  // namespace dewweir::quota
