#include "gateway/shutdown.h"

namespace dewweir::gateway {
namespace {

// Parts of `grace`. Clients go by directory answers that may be old; whoever comes later than the first part
// is better served elsewhere, since a host would have too little time for its request.
constexpr double accepting_part = 0.5;
// A host that is at work keeps its request for as long as the rules ask; then the client is answered.
constexpr double answering_part = 0.9;
// Before the end of `grace` the process must have ended by itself.
constexpr double ending_part = 0.94;

}  // namespace

runtime::Time Shutdown::part_of_grace(double part) const {
    return static_cast<runtime::Time>(part * static_cast<double>(grace_));
}

runtime::Time Shutdown::answers_at() const { return begun_at_ + part_of_grace(answering_part); }

void Shutdown::begin(runtime::Time now) {
    if (begun()) return;
    begun_at_ = now;
    state_ = ShutdownState::draining;
}

ShutdownState Shutdown::advance(runtime::Time now, bool idle) {
    if (!begun()) return state_;
    const runtime::Time passed = now - begun_at_;
    const bool accepting = passed < part_of_grace(accepting_part);
    if (passed >= part_of_grace(ending_part) || (!accepting && idle)) {
        state_ = ShutdownState::ended;
    } else if (passed >= part_of_grace(answering_part)) {
        state_ = ShutdownState::answering;
    } else if (!accepting) {
        state_ = ShutdownState::closing;
    }
    return state_;
}

}  // namespace dewweir::gateway
