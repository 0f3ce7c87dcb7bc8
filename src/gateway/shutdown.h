// State machine of a gateway's shutdown after SIGTERM: which step is taken when, so that every request that
// was read is answered before the process exits. Performs no I/O; the caller passes the time.
#pragma once

#include "runtime/event_loop.h"

namespace dewweir::gateway {

// In the order in which they are passed.
enum class ShutdownState : std::uint8_t {
    serving,   // no SIGTERM has been received
    draining,  // connections are still accepted, since clients may hold this address; each response closes
               // its connection
    closing,   // neither connections nor requests are accepted any more
    flushing,  // all open requests have been answered; the responses are being sent
    ended,     // the process exits now
};

class Shutdown {
  public:
    // `grace`: time from SIGTERM until the platform kills the process.
    explicit Shutdown(runtime::Time grace) : grace_(grace) {}

    // SIGTERM has been received. Further calls have no effect.
    void start(runtime::Time now);
    // Moves to the state that is due and returns it. `idle`: there is no open request or connection and no
    // unsent response.
    ShutdownState advance(runtime::Time now, bool idle);

    bool started() const { return state_ != ShutdownState::serving; }
    // The latest time at which open requests are answered. Only meaningful once started.
    runtime::Time response_deadline() const;

  private:
    runtime::Time fraction_of_grace(double fraction) const;

    runtime::Time grace_;
    runtime::Time started_at_ = 0;
    ShutdownState state_ = ShutdownState::serving;
};

}  // namespace dewweir::gateway
