#include "counts_event.h"

#include <unistd.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <utility>

#include "log.h"

namespace dewweir::net {
namespace {

constexpr int buckets_per_doubling = 4;

std::int64_t resident_kb() {
    long pages = 0, resident = 0;
    std::FILE* const file = std::fopen("/proc/self/statm", "re");
    if (!file) return 0;
    const int read = std::fscanf(file, "%ld %ld", &pages, &resident);
    std::fclose(file);
    return read == 2 ? static_cast<std::int64_t>(resident) * ::sysconf(_SC_PAGESIZE) / 1024 : 0;
}

std::int64_t thousandths(double units) { return std::llround(units * 1000); }

}  // namespace

int time_bucket(Time took) {
    // Integer arithmetic, since this runs for every served request: the power of two, then the number of
    // quarters passed. The roots of 2 with 32 fractional bits are precise enough for all times below the last
    // bucket.
    constexpr std::uint64_t quarters[] = {5107605667, 6074000999, 7223245205};
    const auto time = std::min(static_cast<std::uint64_t>(std::max<Time>(1, took)), std::uint64_t{1} << 22);
    const int doublings = std::bit_width(time) - 1;
    int bucket = buckets_per_doubling * doublings;
    for (const std::uint64_t quarter : quarters) bucket += time << 32 >= quarter << doublings;
    return std::min(bucket, time_buckets - 1);
}

void CountsEvent::served(int route_class, Time took) {
    ++(took <= latency_goals_[static_cast<std::size_t>(route_class)] ? within_goal_ : over_goal_);
    ++latencies_[static_cast<std::size_t>(time_bucket(took))];
}

void CountsEvent::report_decisions(const DecisionCounts& often) {
    for (std::size_t n = 0; n < often.size(); ++n) decisions_[n] += often[n];
}

void CountsEvent::report(Log& log, Time now) {
    std::vector<std::int64_t> times;  // alternating bucket index and count, of non-empty buckets
    for (std::size_t n = 0; n < latencies_.size(); ++n)
        if (latencies_[n]) {
            times.push_back(static_cast<std::int64_t>(n));
            times.push_back(latencies_[n]);
        }
    const auto of = [this](Decision one) { return decisions_[static_cast<std::size_t>(one)]; };
    const std::int64_t quota = of(Decision::over_quota_by_counter) + of(Decision::over_quota_locally) +
                               of(Decision::still_over_quota);
    const std::int64_t line = of(Decision::queue_too_long) + of(Decision::expired_in_queue);
    log.record(Event::counts,
               // The end time makes each line distinct; equal lines would be collapsed as repeats.
               "counts until " + std::to_string(now / 10) + ": tries " + std::to_string(requests_) +
                   ", in goal " + std::to_string(within_goal_) + ", late " + std::to_string(over_goal_) +
                   ", bounced " + std::to_string(refused_) + ", written off " + std::to_string(failed_),
               {{"end_ms", now / 10},
                {"every_ms", interval_ / 10},
                {"tries", requests_},
                {"in_goal", within_goal_},
                {"late", over_goal_},
                {"bounced", refused_},
                {"over_quota", quota},
                {"long_line", line},
                {"written_off", failed_},
                {"gone", disconnected_},
                {"sent_on", first_attempts_},
                {"executions", attempts_},
                {"calls", counter_calls_},
                {"units_asked", thousandths(units_requested_)},
                {"units_in", thousandths(units_sent_)},
                {"units_counted", thousandths(units_counted_)},
                {"memory_kb", resident_kb()},
                {"times", &times}});
    const Time interval = interval_;
    auto goals = std::move(latency_goals_);
    *this = CountsEvent(interval, std::move(goals));
}

}  // namespace dewweir::net
