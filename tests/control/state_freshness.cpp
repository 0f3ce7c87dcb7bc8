#include "control/state_freshness.h"

#include <catch2/catch.hpp>

using namespace dewweir::control;

TEST_CASE("being in step is proved by an answer whose index is applied, as of the question") {
    StateFreshness freshness;
    CHECK_FALSE(freshness.in_step_at());
    freshness.asked(1, 100);
    freshness.answered(1, 5);
    CHECK_FALSE(freshness.in_step_at());
    freshness.applied(4);
    CHECK_FALSE(freshness.in_step_at());
    freshness.applied(5);
    CHECK(freshness.in_step_at() == 100);
}

TEST_CASE("what is applied without an answer proves nothing") {
    StateFreshness freshness;
    freshness.asked(1, 100);
    freshness.applied(9);
    CHECK_FALSE(freshness.in_step_at());
}

TEST_CASE("answers in another order never take a proof back") {
    StateFreshness freshness;
    freshness.applied(10);
    freshness.asked(1, 100);
    freshness.asked(2, 200);
    freshness.answered(2, 7);
    CHECK(freshness.in_step_at() == 200);
    freshness.answered(1, 6);
    CHECK(freshness.in_step_at() == 200);
    freshness.asked(3, 300);
    freshness.answered(3, 11);
    CHECK(freshness.in_step_at() == 200);
}

TEST_CASE("an answer to a question long past still proves that time alone, or nothing") {
    StateFreshness freshness;
    freshness.applied(1);
    for (std::uint64_t token = 1; token <= 100; ++token)
        freshness.asked(token, static_cast<std::int64_t>(token));
    freshness.answered(1, 1);
    CHECK_FALSE(freshness.in_step_at());
    freshness.answered(100, 1);
    CHECK(freshness.in_step_at() == 100);
}
