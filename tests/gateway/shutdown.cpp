// The steps of a gateway's shutdown and their times.
#include "gateway/shutdown.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

constexpr runtime::Time grace = 6 * runtime::tenths_per_second;
constexpr runtime::Time started_at = 1000;

runtime::Time after(double fraction) { return started_at + static_cast<runtime::Time>(fraction * grace); }

Shutdown started_shutdown() {
    Shutdown shutdown(grace);
    shutdown.start(started_at);
    return shutdown;
}

}  // namespace

TEST_CASE("a gateway serves until SIGTERM") {
    Shutdown shutdown(grace);
    CHECK(shutdown.advance(started_at + 10 * grace, true) == ShutdownState::serving);
    CHECK_FALSE(shutdown.started());
}

TEST_CASE("with open requests every state is passed, and the process ends within the grace period") {
    Shutdown shutdown = started_shutdown();
    CHECK(shutdown.advance(started_at, false) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.49), false) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.5), false) == ShutdownState::closing);
    CHECK(shutdown.advance(after(0.89), false) == ShutdownState::closing);
    CHECK(shutdown.advance(after(0.91), false) == ShutdownState::flushing);
    CHECK(shutdown.advance(after(0.95), false) == ShutdownState::ended);
}

TEST_CASE(
    "a host keeps its request until the last sixth of the grace period, and the response can still be sent") {
    const Shutdown shutdown = started_shutdown();
    CHECK(shutdown.response_deadline() >= after(5.0 / 6));
    CHECK(shutdown.response_deadline() < after(0.94));
}

TEST_CASE("an idle gateway ends as soon as it accepts no more clients, and not before") {
    Shutdown shutdown = started_shutdown();
    CHECK(shutdown.advance(after(0.4), true) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.5), true) == ShutdownState::ended);
}

TEST_CASE("a second SIGTERM does not restart the shutdown") {
    Shutdown shutdown = started_shutdown();
    shutdown.start(after(0.4));
    CHECK(shutdown.advance(after(0.95), false) == ShutdownState::ended);
}
