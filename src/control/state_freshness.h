// How old a control plane's state may be. Proof that it is in step with a majority is an answered question:
// the leader, confirmed by a majority after the question was asked, tells up to where everything acknowledged
// is, and that has been applied. Hearing a leader proves nothing: what was heard may be old, or entries may
// not come through. Pure: times are handed in, steady, of this process alone.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace dewweir::control {

using FreshnessTime = std::int64_t;  // tenths of a millisecond, steady

class StateFreshness {
  public:
    // The question `token` is asked now.
    void asked(std::uint64_t token, FreshnessTime now);
    // Its answer: everything that was acknowledged before it lies within the first `index` entries.
    void answered(std::uint64_t token, std::uint64_t index);
    // Entries up to `index` are applied.
    void applied(std::uint64_t index);
    // Since when something may be missing; nothing where it was never in step.
    std::optional<FreshnessTime> in_step_at() const { return in_step_at_; }

  private:
    struct Question {
        std::uint64_t token = 0;
        FreshnessTime asked_at = 0;
        std::optional<std::uint64_t> index{};
    };
    void settle();

    std::deque<Question> questions_;  // by time
    std::uint64_t applied_ = 0;
    std::optional<FreshnessTime> in_step_at_;
};

}  // namespace dewweir::control
