// Words of wants and loans: each loan taken once at the most, whatever the links and restarts do; explored to
// a depth.
#include "limits/rights.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "limits/moved.h"

using namespace dewweir;
using namespace dewweir::limits;

namespace {

constexpr std::uint64_t tenant = 77;
const QuotaShare part{tenant, 1, 2, 0.0005, 20};
const QuotaLendingOptions terms;

// `by` lacks, `from` lends as much as is asked: the word of the loan.
members::GossipItem loan_to(QuotaLending& by, QuotaLending& from, Time now, double units) {
    by.report_shortage(now, part, units);
    const auto wants = by.take_outgoing(now);
    REQUIRE(wants.size() == 1);
    CHECK(from.receive(now, wants[0]));
    const auto asked = from.take_requests();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].share == part);
    from.record_loan(now, asked[0], units, LoanBalance::expiry_of(now));
    const auto loans = from.take_outgoing(now);
    REQUIRE(loans.size() == 1);
    return loans[0];
}

}  // namespace

TEST_CASE("a want is answered once, a loan is taken once, by whom it is for, and not past its life") {
    QuotaLending a(terms, "a", 1000, 1), b(terms, "b", 1000, 2), c(terms, "c", 1000, 3);
    const members::GossipItem loan = loan_to(a, b, 100, 3);
    CHECK_FALSE(b.receive(200, loan));  // its own, by another's mouth
    CHECK(c.receive(200, loan));        // passed on
    CHECK_FALSE(c.receive(200, loan));
    CHECK(c.take_loans().empty());
    CHECK_FALSE(a.receive(300, loan));  // it has come where it was to come
    CHECK_FALSE(a.receive(310, loan));
    const auto taken = a.take_loans();
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].tenant == tenant);
    CHECK(taken[0].units == 3);
    CHECK(taken[0].expires_at == LoanBalance::expiry_of(100));
    // Long after, by a link that made it young again: its lender's later ones are taken, it is not.
    a.take_outgoing(100 + 2 * terms.life);
    members::GossipItem again = loan;
    again.created_at = 100 + 2 * terms.life;
    a.receive(100 + 2 * terms.life, again);
    CHECK(a.take_loans().empty());
    CHECK_FALSE(a.receive(100 + terms.life, loan));
}

TEST_CASE("what an earlier process of ours asked for is not ours, and a lender that comes back lends anew") {
    QuotaLending a(terms, "a", 1000, 1), b(terms, "b", 1000, 2);
    const members::GossipItem loan = loan_to(a, b, 100, 3);
    QuotaLending later(terms, "a", 2000, 1);
    later.receive(200, loan);
    CHECK(later.take_loans().empty());
    QuotaLending again(terms, "b", 2000, 2);
    const members::GossipItem other = loan_to(later, again, 60000, 2);
    later.receive(60100, other);
    CHECK(later.take_loans().size() == 1);
}

TEST_CASE("wants that bring nothing come ever more seldom; who lacks the same is not asked") {
    QuotaLending a(terms, "a", 1000, 1), b(terms, "b", 1000, 2);
    int told = 0;
    for (Time now = 100; now < 400000; now += 500) {
        a.report_shortage(now, part, 1);
        for (const members::GossipItem& want : a.take_outgoing(now)) {
            ++told;
            b.report_shortage(now, part, 1);
            b.receive(now, want);
        }
        CHECK(b.take_requests().empty());
    }
    CHECK(told >= 10);
    CHECK(told <= 16);  // at first after 250 ms, then doubled up to 4 s: 40 s hold 14
    QuotaLending tiny(terms, "t", 1000, 1);
    tiny.report_shortage(100, {tenant, 1, 40, 0.0005, 20}, 1);
    CHECK(tiny.take_outgoing(100).empty());
}

TEST_CASE("whom the counter answers lends nothing, until it has been silent for a while") {
    QuotaLending a(terms, "a", 1000, 1), b(terms, "b", 1000, 2);
    b.counter_answered(100);
    a.report_shortage(100, part, 1);
    CHECK(b.receive(100, a.take_outgoing(100).at(0)));
    CHECK(b.take_requests().empty());
    const Time later = 100 + terms.silent;
    a.report_shortage(later, part, 1);
    CHECK(b.receive(later, a.take_outgoing(later).at(0)));
    CHECK(b.take_requests().size() == 1);
}

TEST_CASE("words that are torn or nonsense are dropped") {
    QuotaLending a(terms, "a", 1000, 1), b(terms, "b", 1000, 2);
    members::GossipItem loan = loan_to(a, b, 100, 3);
    for (std::size_t n = 0; n < loan.payload.size(); ++n) {
        members::GossipItem torn = loan;
        torn.payload.resize(n);
        a.receive(200, torn);
    }
    members::GossipItem other = loan;
    other.key += "1";
    a.receive(200, other);
    other = loan;
    other.time_to_live = 10 * terms.life;
    a.receive(200, other);
    CHECK(a.take_loans().empty());
}

namespace {

// Two gateways and the words between them; each step is one of: a lacks, b lends what it is asked, a word
// arrives (and may come again), a word is lost, time passes, a starts again. What a is credited must be what
// b lent it, once each.
struct World {
    QuotaLending a{terms, "a", 1000, 1}, b{terms, "b", 1000, 2};
    std::vector<members::GossipItem> flying;
    Time now = 100000;
    std::uint64_t started = 1000;
    std::multiset<double> lent, credited;
    double next = 1;
};

struct Found {
    std::uint64_t states = 0;
    bool twice = false;
};

void explore(const World& world, int depth, bool forgets, Found& found) {
    ++found.states;
    for (const double one : world.credited)
        found.twice |= world.credited.count(one) > 1 || !world.lent.contains(one);
    if (depth == 0 || found.twice) return;
    const auto step = [&](const std::function<void(World&)>& what) {
        World then = world;
        what(then);
        for (const members::GossipItem& word : then.a.take_outgoing(then.now)) then.flying.push_back(word);
        // Each loan is of another amount, so that it is known again.
        for (const LoanRequest& want : then.b.take_requests()) {
            then.lent.insert(then.next);
            then.b.record_loan(then.now, want, then.next++, LoanBalance::expiry_of(then.now));
        }
        for (const members::GossipItem& word : then.b.take_outgoing(then.now)) then.flying.push_back(word);
        for (const Loan& loan : then.a.take_loans()) then.credited.insert(loan.units);
        explore(then, depth - 1, forgets, found);
    };
    if (world.flying.size() < 3) step([](World& w) { w.a.report_shortage(w.now, part, 1); });
    for (std::size_t n = 0; n < world.flying.size(); ++n) {
        const auto arrives = [n, forgets](World& w) {
            const members::GossipItem word = w.flying[n];
            if (forgets) w.a = QuotaLending(terms, "a", 1000, 1);  // the fault that must be found
            w.a.receive(w.now, word), w.b.receive(w.now, word);
        };
        step(arrives);
        step([&](World& w) { arrives(w), w.flying.erase(w.flying.begin() + static_cast<long>(n)); });
    }
    step([](World& w) { w.now += terms.life / 2; });
    step([](World& w) { w.a = QuotaLending(terms, "a", w.started += 1000, 1); });
}

}  // namespace

TEST_CASE("explored: all orders, losses, repeats, pauses and restarts to a depth credit no loan twice") {
    Found found;
    explore({}, 7, false, found);
    CHECK_FALSE(found.twice);
    MESSAGE("depth 7: " << found.states << " states");
    CHECK(found.states > 50000);
    Found faulty;
    explore({}, 7, true, faulty);
    CHECK(faulty.twice);  // a taker that forgets what it took is found out
}
