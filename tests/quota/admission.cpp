// One gateway's decisions by example: pending, passed ahead of the answer, refused, and by the local bucket.
#include "quota/admission.h"

#include <catch2/catch.hpp>

using namespace dewweir::quota;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
constexpr QuotaBound rules{5s, 0.1, 20};
constexpr TenantId tenant = 9;
const Quota quota{61, 61};
const double limit = check_for(quota, rules).limit;

// Requests until one is refused, while the holder is unreachable. Returns how many passed.
int passed_locally(Admission& admission, TimePoint now, const Quota& limits, int gateways) {
    int passed = 0;
    while (admission.request(now, tenant, limits, gateways, false).result == Admitted::passed) ++passed;
    return passed;
}

}  // namespace

TEST_CASE("a tenant without a quota passes and leaves no state") {
    Admission admission(1, rules);
    CHECK(admission.request(start, tenant, {}, 4, true).result == Admitted::passed);
    CHECK(admission.tenants() == 0);
}

TEST_CASE("the first request asks, and the answer decides") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    CHECK(asked.result == Admitted::pending);
    REQUIRE(asked.statement);
    CHECK(asked.statement->tenant == tenant);
    CHECK(asked.statement->gateway == 1);
    CHECK(asked.statement->current == 1);
    CHECK(admission.answered(start, tenant, asked.statement->sequence, {limit - 1, 0ms}).result ==
          Admitted::passed);

    const Decision second = admission.request(start, tenant, quota, 4, true);
    CHECK(second.result == Admitted::refused);  // known already: no statement is sent
    CHECK_FALSE(second.statement);
}

TEST_CASE("a request that the answer refuses is removed from the count") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    const Decision refused = admission.answered(start, tenant, asked.statement->sequence, {limit, 0ms});
    CHECK(refused.result == Admitted::refused);
    REQUIRE(refused.statement);
    CHECK(refused.statement->sequence > asked.statement->sequence);
    CHECK(refused.statement->current == 0);
}

TEST_CASE("ahead of their answers pass at most this gateway's share of what is left") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    admission.answered(start, tenant, asked.statement->sequence, {0, 0ms});
    int ahead = 0;
    while (admission.request(start, tenant, quota, 4, true).result == Admitted::passed) ++ahead;
    CHECK(ahead >= 1);
    // Each passed request also takes from what is left.
    CHECK(ahead <= (limit - 1 - ahead) / 4 + 1);
}

TEST_CASE("after retry_after the request may pass") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    // Other gateways admitted the complete limit at the moment of the answer.
    const Decision refused = admission.answered(start, tenant, asked.statement->sequence, {limit, 0ms});
    REQUIRE(refused.result == Admitted::refused);
    CHECK(refused.retry_after >= 20ms);
    const Decision early = admission.request(start + refused.retry_after / 2, tenant, quota, 4, true);
    CHECK(early.result == Admitted::refused);
    const TimePoint later = start + refused.retry_after + 1ms;
    CHECK(admission.request(later, tenant, quota, 4, true).result != Admitted::refused);
}

TEST_CASE("the local bucket holds this gateway's share, and retry_after is when it has the next token") {
    Admission admission(1, rules);
    const int passed = passed_locally(admission, start, quota, 4);
    CHECK(passed == static_cast<int>(limit / 4));
    const Decision refused = admission.request(start, tenant, quota, 4, false);
    REQUIRE(refused.result == Admitted::refused);
    CHECK(admission.request(start + refused.retry_after / 2, tenant, quota, 4, false).result ==
          Admitted::refused);
    CHECK(admission.request(start + refused.retry_after + 1ms, tenant, quota, 4, false).result ==
          Admitted::passed);
}

TEST_CASE("requests that the local bucket admits are stated to the holder without waiting for an answer") {
    Admission admission(1, rules);
    const Decision passed = admission.request(start, tenant, quota, 4, false);
    REQUIRE(passed.statement);
    CHECK(passed.statement->current == 1);
    CHECK_FALSE(passed.wants_answer);
    CHECK(admission.request(start, tenant, quota, 4, true).wants_answer);
}

TEST_CASE("a quota smaller than the number of gateways leaves each one request") {
    Admission admission(1, rules);
    CHECK(passed_locally(admission, start, {0.2, 0}, 500) == 1);
}

TEST_CASE("going over to the local bucket creates no tokens") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    admission.answered(start, tenant, asked.statement->sequence, {limit - 1, 0ms});
    CHECK(passed_locally(admission, start, quota, 4) == 0);
}

TEST_CASE("without an answer the local bucket decides, and the next statement counts what it admitted") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 4, true);
    CHECK(admission.unanswered(start + 50ms, tenant, asked.statement->sequence).result == Admitted::passed);
    CHECK(passed_locally(admission, start + 50ms, quota, 4) == static_cast<int>(limit / 4) - 1);
    const Decision next = admission.request(start + 60ms, tenant, quota, 4, true);
    REQUIRE(next.statement);
    CHECK(next.statement->current == static_cast<int>(limit / 4) + 1);
}

TEST_CASE("a lower quota holds at once") {
    Admission admission(1, rules);
    const Decision asked = admission.request(start, tenant, quota, 1, true);
    admission.answered(start, tenant, asked.statement->sequence, {40, 0ms});
    const Decision lowered = admission.request(start, tenant, {1, 0}, 1, true);
    CHECK(lowered.result == Admitted::pending);  // the others' count is of windows of another length
    CHECK(admission.answered(start, tenant, lowered.statement->sequence, {40, 0ms}).result ==
          Admitted::refused);
}

TEST_CASE("idle tenants are dropped") {
    Admission admission(1, rules);
    admission.request(start, tenant, quota, 4, true);
    admission.drop_idle(start + 30s);
    CHECK(admission.tenants() == 1);
    admission.drop_idle(start + 30s + 1ms);
    CHECK(admission.tenants() == 0);
}

// Guards against requests beyond the quota, because a holder ignores the statements of a tenant that a
// gateway has dropped and that came back.
TEST_CASE("statements of a tenant that was dropped and returns are newer than those before") {
    Admission admission(1, rules);
    CountHolder holder;
    std::uint64_t last = 0;
    for (int requests = 0; requests < 5; ++requests) {
        const Decision asked = admission.request(start, tenant, quota, 4, true);
        REQUIRE(asked.statement);
        last = asked.statement->sequence;
        holder.state(start, *asked.statement);
        admission.answered(start, tenant, last, {0, 0ms});
    }
    const TimePoint later = start + 1min;
    admission.drop_idle(later);
    CHECK(admission.tenants() == 0);
    const Decision back = admission.request(later, tenant, quota, 4, true);
    REQUIRE(back.statement);
    CHECK(back.statement->sequence > last);
    holder.state(later, *back.statement);
    Admission other(2, rules);
    const Decision elsewhere = other.request(later, tenant, quota, 4, true);
    REQUIRE(elsewhere.statement);
    CHECK(holder.state(later, *elsewhere.statement).others == Approx(1));
}
