// The steps of a gateway's end, by their times.
#include "gateway/shutdown.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

constexpr runtime::Time grace = 6 * runtime::tenths_per_second;
constexpr runtime::Time begun = 1000;

runtime::Time after(double part) { return begun + static_cast<runtime::Time>(part * grace); }

Shutdown begun_shutdown() {
    Shutdown shutdown(grace);
    shutdown.begin(begun);
    return shutdown;
}

}  // namespace

TEST_CASE("a gateway serves until it is told to end") {
    Shutdown shutdown(grace);
    CHECK(shutdown.advance(begun + 10 * grace, true) == ShutdownState::serving);
    CHECK_FALSE(shutdown.begun());
}

TEST_CASE("with requests open every step is taken, and the end comes within grace") {
    Shutdown shutdown = begun_shutdown();
    CHECK(shutdown.advance(begun, false) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.49), false) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.5), false) == ShutdownState::closing);
    CHECK(shutdown.advance(after(0.89), false) == ShutdownState::closing);
    CHECK(shutdown.advance(after(0.91), false) == ShutdownState::answering);
    CHECK(shutdown.advance(after(0.95), false) == ShutdownState::ended);
}

TEST_CASE("a host at work has its request until the last sixth of grace, and the answer has time to go out") {
    const Shutdown shutdown = begun_shutdown();
    CHECK(shutdown.answers_at() >= after(5.0 / 6));
    CHECK(shutdown.answers_at() < after(0.94));
}

TEST_CASE("an idle gateway ends as soon as it takes no more clients, and not before") {
    Shutdown shutdown = begun_shutdown();
    CHECK(shutdown.advance(after(0.4), true) == ShutdownState::draining);
    CHECK(shutdown.advance(after(0.5), true) == ShutdownState::ended);
}

TEST_CASE("a second SIGTERM does not begin it again") {
    Shutdown shutdown = begun_shutdown();
    shutdown.begin(after(0.4));
    CHECK(shutdown.advance(after(0.95), false) == ShutdownState::ended);
}
