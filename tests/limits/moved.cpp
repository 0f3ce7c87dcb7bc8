// What has moved of one part: over with its slot at both ends, and all parts together never past the quota.
#include "limits/moved.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <vector>

#include "limits/bounds.h"

using namespace dewweir;
using limits::LoanBalance;

TEST_CASE("what is lent in a slot takes room to the end of the next, and is held no longer") {
    const Time now = 10 * LoanBalance::slot + 500, until = LoanBalance::expiry_of(now);
    CHECK(until == 12 * LoanBalance::slot);
    LoanBalance lender, taker;
    lender.lend(now, 3);
    taker.borrow(now + 2000, 3, until);
    for (const Time at : {now + 2000, 11 * LoanBalance::slot, until - 1}) {
        CHECK(lender.lent(at) == 3);
        CHECK(taker.borrowed(at) == 3);
    }
    CHECK(lender.lent(until) == 0);
    CHECK(taker.borrowed(until) == 0);
}

TEST_CASE("what comes late, too early or torn is not taken; what is over first is used first") {
    const Time now = 10 * LoanBalance::slot;
    LoanBalance taker;
    for (const Time until :
         {now, now - LoanBalance::slot, now + 3 * LoanBalance::slot, now + LoanBalance::slot + 1, Time{0}})
        taker.borrow(now, 1, until);
    taker.borrow(now, -5, now + LoanBalance::slot);
    CHECK(taker.borrowed(now) == 0);
    taker.borrow(now, 2, now + LoanBalance::slot);
    taker.borrow(now, 4, now + 2 * LoanBalance::slot);
    CHECK(taker.spend(now, 3) == 0);
    CHECK(taker.borrowed(now + LoanBalance::slot) == 3);
    CHECK(taker.spend(now + LoanBalance::slot, 5) == 2);
}

// Parts as the decisions keep them: each refills to its room, and lets in what it holds.
TEST_CASE("whatever is moved, lost, late or doubled, no stretch of time lets in over burst and refill") {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        boost::random::mt19937 chance(seed);
        const auto any = [&](int to) { return boost::random::uniform_int_distribution<>(0, to)(chance); };
        const int gateways = 2 + any(6);
        const double rate = 0.0005 * (1 + any(20)), burst = gateways * (1 + any(9));  // a tenth of a ms
        struct Part {
            LoanBalance moved;
            double share;
        };
        std::vector<Part> parts(static_cast<std::size_t>(gateways), {{}, burst / gateways});
        struct Loan {
            std::size_t to;
            double units;
            Time until;
        };
        std::vector<Loan> flying;
        std::vector<std::pair<Time, double>> let_in;
        Time now = 1000000;
        for (int step = 0; step < 4000; ++step) {
            const Time passed = any(400);
            now += passed;
            for (Part& one : parts)
                one.share = std::min(std::max(0.0, burst / gateways - one.moved.lent(now)),
                                     one.share + rate / gateways * static_cast<double>(passed));
            Part& one = parts[static_cast<std::size_t>(any(gateways - 1))];
            const double held = one.share + one.moved.borrowed(now);
            switch (any(3)) {
                case 0: {  // lends half, whose word may be lost
                    const double units = one.share / 2;
                    one.share -= units;
                    one.moved.lend(now, units);
                    if (any(4))
                        flying.push_back({static_cast<std::size_t>(any(gateways - 1)), units,
                                          LoanBalance::expiry_of(now)});
                    break;
                }
                case 1:  // a word arrives, in any order, once at the most (limits::QuotaLending sees to that)
                    if (!flying.empty()) {
                        const auto at = flying.begin() + any(static_cast<int>(flying.size()) - 1);
                        parts[at->to].moved.borrow(now, at->units, at->until);
                        flying.erase(at);
                    }
                    break;
                default: {
                    const double units = std::min(held, 1.0 + any(3));
                    one.share -= one.moved.spend(now, units);
                    let_in.emplace_back(now, units);
                }
            }
        }
        // The quota's own bucket, with no slack at all.
        double level = burst;
        Time at = let_in.front().first;
        for (const auto& [moment, units] : let_in) {
            level = std::min(burst, level + rate * static_cast<double>(moment - at)) - units;
            at = moment;
            REQUIRE_MESSAGE(level > -1e-6 * burst, "seed " << seed << ", " << gateways << " gateways");
        }
    }
}

TEST_CASE("bounds: a burst an event, parts under a unit hold one each") {
    const limits::QuotaBounds wide = limits::quota_bounds(5, 15, 3);
    CHECK(wide.share == 5);
    CHECK(wide.event_excess == 15);
    CHECK(wide.event_excess_of_minute == doctest::Approx(0.05));
    CHECK(wide.lendable);
    const limits::QuotaBounds tiny = limits::quota_bounds(2, 6, 24);
    CHECK(tiny.event_excess == 24);
    CHECK(tiny.restart_excess == 1);
    CHECK_FALSE(tiny.lendable);
}
