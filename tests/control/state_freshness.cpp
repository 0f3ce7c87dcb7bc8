// Proofs of being in sync. A wrong one would let a control plane present old state as current.
#include "control/state_freshness.h"

#include <catch2/catch.hpp>

using namespace dewweir::control;

TEST_CASE("a confirmed request whose index is applied proves being in sync as of the time it was sent") {
    StateFreshness freshness;
    CHECK_FALSE(freshness.in_sync_at());
    freshness.request_sent(1, 100);
    freshness.request_confirmed(1, 5);
    CHECK_FALSE(freshness.in_sync_at());
    freshness.entries_applied(4);
    CHECK_FALSE(freshness.in_sync_at());
    freshness.entries_applied(5);
    CHECK(freshness.in_sync_at() == 100);
}

TEST_CASE("applied entries without a confirmed request prove nothing") {
    StateFreshness freshness;
    freshness.request_sent(1, 100);
    freshness.entries_applied(9);
    CHECK_FALSE(freshness.in_sync_at());
}

TEST_CASE("confirmations out of order never move the proven time back") {
    StateFreshness freshness;
    freshness.entries_applied(10);
    freshness.request_sent(1, 100);
    freshness.request_sent(2, 200);
    freshness.request_confirmed(2, 7);
    CHECK(freshness.in_sync_at() == 200);
    freshness.request_confirmed(1, 6);
    CHECK(freshness.in_sync_at() == 200);
    freshness.request_sent(3, 300);
    freshness.request_confirmed(3, 11);
    CHECK(freshness.in_sync_at() == 200);
}

TEST_CASE("a confirmation of a dropped request proves nothing, and a later one proves its own time") {
    StateFreshness freshness;
    freshness.entries_applied(1);
    for (std::uint64_t token = 1; token <= 100; ++token)
        freshness.request_sent(token, static_cast<std::int64_t>(token));
    freshness.request_confirmed(1, 1);
    CHECK_FALSE(freshness.in_sync_at());
    freshness.request_confirmed(100, 1);
    CHECK(freshness.in_sync_at() == 100);
}
