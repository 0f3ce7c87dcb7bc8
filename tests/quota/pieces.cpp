// The parts by example: the sliding count, the window of a quota, the breaker and the holder.
#include <catch2/catch.hpp>

#include "quota/breaker.h"
#include "quota/count_holder.h"
#include "quota/window_check.h"

using namespace dewweir::quota;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
constexpr QuotaBound rules{5s, 0.1, 20};

Statement statement_of(GatewayIncarnation gateway, std::uint64_t sequence, double current) {
    Statement statement;
    statement.tenant = 1;
    statement.gateway = gateway;
    statement.sequence = sequence;
    statement.window = 1s;
    statement.current = current;
    return statement;
}

}  // namespace

TEST_CASE("a sliding count weighs the previous window by the part that still overlaps") {
    SlidingCount count;
    count.add(start, 10s, 8);
    CHECK(count.estimate(start + 9'999ms, 10s) == Approx(8));
    CHECK(count.estimate(start + 10s, 10s) == Approx(8));
    CHECK(count.estimate(start + 13s, 10s) == Approx(8 * 0.7));  // the essay's example
    count.add(start + 15s, 10s, 2);
    CHECK(count.estimate(start + 15s, 10s) == Approx(8 * 0.5 + 2));
    CHECK(count.previous() == 8);
    CHECK(count.current() == 2);
    CHECK(count.began() == start + 10s);
    CHECK(count.estimate(start + 20s, 10s) == Approx(2));
}

TEST_CASE("aligning a window splits its counts as if the requests had come evenly") {
    SlidingCount count;
    count.add(start - 16s, 16s, 4);
    count.add(start, 16s, 9);
    count.align(start + 4s, 16s, start - 8s);  // it began earlier: aligned after the next roll only
    CHECK(count.began() == start);
    count.align(start + 9s, 16s, start + 8s);
    CHECK(count.began() == start + 8s);
    CHECK(count.previous() == Approx(4 * 0.5 + 8));
    CHECK(count.current() == Approx(1));
    count.align(start + 9s, 16s, start + 9s);  // differs by less than a sixteenth
    CHECK(count.began() == start + 8s);
    count.align(start + 23'500ms, 16s, start + 23'500ms);  // the next boundary, a little early
    CHECK(count.began() == start + 8s);
}

TEST_CASE("a count is 0 after two idle windows, and never falls below 0") {
    SlidingCount count;
    count.add(start, 10s, 8);
    CHECK(count.estimate(start + 20s, 10s) == 0);
    count.add(start + 21s, 10s, 1);
    count.add(start + 22s, 10s, -3);
    CHECK(count.estimate(start + 22s, 10s) == 0);
}

TEST_CASE("window and limit use 0.93 of the bound, whatever the quota") {
    for (const Quota& quota :
         {Quota{61, 61}, Quota{0.2, 0}, Quota{20, 0}, Quota{2000, 4000}, Quota{5000, 0}}) {
        const WindowCheck check = check_for(quota, rules);
        const double allowed = (quota.rate_per_s * 5 + quota.burst) * 1.1 + 20;
        const double windows = 5s / std::chrono::duration<double>(check.window) + 1;
        CHECK(check.window >= shortest_window);
        CHECK(check.window <= longest_window);
        CHECK(check.limit * windows == Approx(bound_used * allowed));
    }
    // Between the shortest and the longest window the limit is what the rate brings in one.
    const WindowCheck check = check_for({61, 61}, rules);
    CHECK(check.limit == Approx(61 * std::chrono::duration<double>(check.window).count()));
    CHECK(check_for({0.2, 0}, rules).window == longest_window);
    CHECK(check_for({5000, 0}, rules).window == shortest_window);
    CHECK(check_for({0.1, 0}, {5s, 0, 0}).limit == 1);  // one request at least
}

TEST_CASE("the breaker opens after failures in a row, probes once, and closes with an answer") {
    Breaker breaker;
    breaker.failed(start);
    breaker.failed(start);
    breaker.succeeded();
    breaker.failed(start);
    breaker.failed(start);
    CHECK(breaker.allows(start));
    breaker.failed(start);
    CHECK(breaker.state() == Breaker::State::open);
    CHECK_FALSE(breaker.allows(start + 499ms));
    CHECK(breaker.allows(start + 500ms));
    CHECK(breaker.state() == Breaker::State::probing);
    CHECK_FALSE(breaker.allows(start + 501ms));  // one probe at a time
    breaker.failed(start + 600ms);
    CHECK_FALSE(breaker.allows(start + 1'099ms));
    CHECK(breaker.allows(start + 1'100ms));
    breaker.succeeded();
    CHECK(breaker.state() == Breaker::State::closed);
    CHECK(breaker.allows(start + 1'101ms));
}

TEST_CASE("a holder answers with the count of all other gateways") {
    CountHolder holder;
    CHECK(holder.state(start, statement_of(1, 1, 4)).others == 0);
    CHECK(holder.state(start, statement_of(2, 1, 3)).others == Approx(4));
    CHECK(holder.state(start, statement_of(1, 2, 5)).others == Approx(3));
    CHECK(holder.state(start, statement_of(3, 1, 0)).others == Approx(8));
    CHECK(holder.state(start + 1'500ms, statement_of(3, 2, 0)).others == Approx(4));
    CHECK(holder.state(start + 2s, statement_of(3, 3, 0)).others == 0);
}

TEST_CASE("duplicated, late and reordered statements change nothing") {
    CountHolder holder;
    holder.state(start, statement_of(1, 2, 7));
    holder.state(start, statement_of(1, 2, 7));
    holder.state(start, statement_of(1, 1, 6));
    CHECK(holder.state(start, statement_of(2, 1, 0)).others == Approx(7));
    // Another incarnation of the same gateway is counted besides the first.
    holder.state(start, statement_of(3, 1, 2));
    CHECK(holder.state(start, statement_of(2, 2, 0)).others == Approx(9));
}

TEST_CASE("a holder drops tenants without statements") {
    CountHolder holder;
    holder.state(start, statement_of(1, 1, 1));
    holder.drop_idle(start + 20s);
    CHECK(holder.tenants() == 1);
    holder.drop_idle(start + 20s + 1ms);
    CHECK(holder.tenants() == 0);
}
