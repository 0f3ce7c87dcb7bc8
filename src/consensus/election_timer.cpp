#include "consensus/election_timer.h"

#include <algorithm>

namespace dewweir::consensus {
namespace {

// The first timeout is drawn from [min_first_timeout, min_first_timeout + first_timeout_range).
constexpr microseconds min_first_timeout = milliseconds(50);
constexpr microseconds first_timeout_range = milliseconds(150);

}  // namespace

ElectionTimer::ElectionTimer(const Options& options, std::uint64_t seed)
    : options_(options), random_state_(seed) {}

microseconds ElectionTimer::minimum_timeout() const {
    const microseconds derived = max_round_trip_ * options_.round_trips_per_election_timeout;
    const microseconds floor = options_.election_timeout_floor;
    const microseconds ceiling = options_.election_timeout_ceiling;
    return std::clamp(derived, floor, std::max(floor, ceiling));
}

void ElectionTimer::start(TimePoint now) {
    const auto range = static_cast<std::uint64_t>(first_timeout_range.count());
    deadline_ = now + min_first_timeout + microseconds(static_cast<std::int64_t>(next_random() % range));
}

void ElectionTimer::restart(TimePoint now) {
    const microseconds base = minimum_timeout();
    const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(base.count(), 1));
    const microseconds extra(static_cast<std::int64_t>(next_random() % range));
    deadline_ = now + base + extra;
}

// splitmix64 (Steele, Lea, Flood 2014): yields the same numbers on every platform.
std::uint64_t ElectionTimer::next_random() {
    random_state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

}  // namespace dewweir::consensus
