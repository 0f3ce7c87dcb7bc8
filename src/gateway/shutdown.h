// How a gateway ends after SIGTERM: which steps it takes when, so that every request it has read has its
// answer before the process is gone. Pure: the clock is handed in.
#pragma once

#include "runtime/event_loop.h"

namespace dewweir::gateway {

enum class ShutdownState : std::uint8_t {
    serving,    // no SIGTERM has come
    draining,   // clients that still hold this address are taken; every answer closes its connection
    closing,    // neither connections nor requests are taken any more
    answering,  // what was still open has been answered; the answers are on their way
    ended,      // the process ends now
};

class Shutdown {
  public:
    // `grace`: from SIGTERM until the process is killed.
    explicit Shutdown(runtime::Time grace) : grace_(grace) {}

    // SIGTERM has come; a second one changes nothing.
    void begin(runtime::Time now);
    // The one place where the state changes. `idle`: no request, connection or answer is open.
    ShutdownState advance(runtime::Time now, bool idle);

    bool begun() const { return state_ != ShutdownState::serving; }
    // When what is open is answered at the latest; of use once it has begun.
    runtime::Time answers_at() const;

  private:
    runtime::Time part_of_grace(double part) const;

    runtime::Time grace_;
    runtime::Time begun_at_ = 0;
    ShutdownState state_ = ShutdownState::serving;
};

}  // namespace dewweir::gateway
