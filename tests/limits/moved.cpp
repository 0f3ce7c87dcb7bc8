// Loans between quota shares: they expire at lender and borrower at the same time, and all shares together
// never exceed the quota.
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

TEST_CASE("a loan lowers the lender's capacity to the end of the next slot, and can be spent no longer") {
    const Time now = 10 * LoanBalance::slot + 500, until = LoanBalance::expiry_of(now);
    CHECK(until == 12 * LoanBalance::slot);
    LoanBalance lender, borrower;
    lender.lend(now, 3);
    borrower.borrow(now + 2000, 3, until);
    for (const Time at : {now + 2000, 11 * LoanBalance::slot, until - 1}) {
        CHECK(lender.lent(at) == 3);
        CHECK(borrower.borrowed(at) == 3);
    }
    CHECK(lender.lent(until) == 0);
    CHECK(borrower.borrowed(until) == 0);
}

TEST_CASE("loans with an impossible expiry are ignored; loans that expire first are spent first") {
    const Time now = 10 * LoanBalance::slot;
    LoanBalance borrower;
    for (const Time until :
         {now, now - LoanBalance::slot, now + 3 * LoanBalance::slot, now + LoanBalance::slot + 1, Time{0}})
        borrower.borrow(now, 1, until);
    borrower.borrow(now, -5, now + LoanBalance::slot);
    CHECK(borrower.borrowed(now) == 0);
    borrower.borrow(now, 2, now + LoanBalance::slot);
    borrower.borrow(now, 4, now + 2 * LoanBalance::slot);
    CHECK(borrower.spend(now, 3) == 0);
    CHECK(borrower.borrowed(now + LoanBalance::slot) == 3);
    CHECK(borrower.spend(now + LoanBalance::slot, 5) == 2);
}

// Shares as the decisions keep them: each refills to its capacity, and admits what it holds. Guards against
// loans that raise the sum of the shares.
TEST_CASE("whatever is lent, lost or delayed, no span of time admits more than burst and refill") {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        boost::random::mt19937 rng(seed);
        const auto any = [&](int to) { return boost::random::uniform_int_distribution<>(0, to)(rng); };
        const int gateways = 2 + any(6);
        const double rate = 0.0005 * (1 + any(20)), burst = gateways * (1 + any(9));  // per tenth of a ms
        struct Share {
            LoanBalance loans;
            double tokens;
        };
        std::vector<Share> shares(static_cast<std::size_t>(gateways), {{}, burst / gateways});
        struct Loan {
            std::size_t to;
            double units;
            Time until;
        };
        std::vector<Loan> in_transit;
        std::vector<std::pair<Time, double>> admitted;
        Time now = 1000000;
        for (int step = 0; step < 4000; ++step) {
            const Time passed = any(400);
            now += passed;
            for (Share& one : shares)
                one.tokens = std::min(std::max(0.0, burst / gateways - one.loans.lent(now)),
                                      one.tokens + rate / gateways * static_cast<double>(passed));
            Share& one = shares[static_cast<std::size_t>(any(gateways - 1))];
            const double held = one.tokens + one.loans.borrowed(now);
            switch (any(3)) {
                case 0: {  // lends half; the message may be lost
                    const double units = one.tokens / 2;
                    one.tokens -= units;
                    one.loans.lend(now, units);
                    if (any(4))
                        in_transit.push_back({static_cast<std::size_t>(any(gateways - 1)), units,
                                              LoanBalance::expiry_of(now)});
                    break;
                }
                case 1:  // a loan arrives, in any order, once at most (ensured by limits::QuotaLending)
                    if (!in_transit.empty()) {
                        const auto at = in_transit.begin() + any(static_cast<int>(in_transit.size()) - 1);
                        shares[at->to].loans.borrow(now, at->units, at->until);
                        in_transit.erase(at);
                    }
                    break;
                default: {
                    const double units = std::min(held, 1.0 + any(3));
                    one.tokens -= one.loans.spend(now, units);
                    admitted.emplace_back(now, units);
                }
            }
        }
        // The quota's own token bucket, without slack.
        double level = burst;
        Time at = admitted.front().first;
        for (const auto& [moment, units] : admitted) {
            level = std::min(burst, level + rate * static_cast<double>(moment - at)) - units;
            at = moment;
            REQUIRE_MESSAGE(level > -1e-6 * burst, "seed " << seed << ", " << gateways << " gateways");
        }
    }
}

TEST_CASE("bounds: a burst per event; shares under a unit hold one unit each") {
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
