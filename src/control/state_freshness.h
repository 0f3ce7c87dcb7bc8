// Measures how stale a control plane's replicated state may be. The proof that it is in sync with a majority
// is a confirmed read-index request: the leader, whose leadership a majority confirms after the request was
// sent, answers with the index that covers everything acknowledged before, and the local state has applied
// that index. Messages from a leader alone prove nothing: they may be old, or entries may be failing to
// arrive. Pure: times are passed in, from this process's steady clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace dewweir::control {

using FreshnessTime = std::int64_t;  // tenths of a millisecond on a steady clock

class StateFreshness {
  public:
    // The request `token` is being sent now.
    void request_sent(std::uint64_t token, FreshnessTime now);
    // The request was answered: everything acknowledged before it was sent lies within the first `index`
    // entries. Unknown tokens are ignored.
    void request_confirmed(std::uint64_t token, std::uint64_t index);
    // All entries up to `index` are applied.
    void entries_applied(std::uint64_t index);
    // The latest time up to which the state provably holds everything acknowledged; changes acknowledged
    // later may be missing. Nothing until the first proof. Never goes back.
    std::optional<FreshnessTime> in_sync_at() const { return in_sync_at_; }

  private:
    struct Request {
        std::uint64_t token = 0;
        FreshnessTime sent_at = 0;
        std::optional<std::uint64_t> index{};  // from the answer
    };
    void update_in_sync_time();

    std::deque<Request> requests_;  // in the order they were sent
    std::uint64_t applied_ = 0;
    std::optional<FreshnessTime> in_sync_at_;
};

}  // namespace dewweir::control
