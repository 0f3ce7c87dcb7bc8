#include "gateway/shutdown.h"

namespace dewweir::gateway {
namespace {

// Fractions of `grace`, from SIGTERM.
//
// Clients may still use a directory answer that names this gateway, so connections are accepted for a while.
// A later client is better served by another gateway: here a host would have too little time for its request.
constexpr double accepting_fraction = 0.5;
// A host that is executing a request is given the time that the rules require; then the client is answered.
constexpr double responding_fraction = 0.9;
// The process must have exited by itself before the platform kills it at the end of `grace`.
constexpr double ending_fraction = 0.94;

}  // namespace

runtime::Time Shutdown::fraction_of_grace(double fraction) const {
    return static_cast<runtime::Time>(fraction * static_cast<double>(grace_));
}

runtime::Time Shutdown::response_deadline() const {
    return started_at_ + fraction_of_grace(responding_fraction);
}

void Shutdown::start(runtime::Time now) {
    if (started()) return;
    started_at_ = now;
    state_ = ShutdownState::draining;
}

ShutdownState Shutdown::advance(runtime::Time now, bool idle) {
    if (!started()) return state_;
    const runtime::Time elapsed = now - started_at_;
    const bool accepting = elapsed < fraction_of_grace(accepting_fraction);
    if (elapsed >= fraction_of_grace(ending_fraction) || (!accepting && idle)) {
        state_ = ShutdownState::ended;
    } else if (elapsed >= fraction_of_grace(responding_fraction)) {
        state_ = ShutdownState::flushing;
    } else if (!accepting) {
        state_ = ShutdownState::closing;
    }
    return state_;
}

}  // namespace dewweir::gateway
