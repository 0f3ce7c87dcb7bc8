// Loan requests and loans between gateways: each loan is taken once at most, whatever the network does and
// whoever restarts. All orders of events are explored to a depth.
#include "limits/rights.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "limits/moved.h"

using namespace dewweir;
using namespace dewweir::limits;

namespace {

constexpr std::uint64_t tenant = 77;
const QuotaShare share{tenant, 1, 2, 0.0005, 20};
const QuotaLendingOptions options;

// `borrower` has a shortage and `lender` lends these units. Returns the gossip item of the loan.
members::GossipItem loan_to(QuotaLending& borrower, QuotaLending& lender, Time now, double units) {
    borrower.report_shortage(now, share, units);
    const auto outgoing = borrower.take_outgoing(now);
    REQUIRE(outgoing.size() == 1);
    CHECK(lender.receive(now, outgoing[0]));
    const auto requests = lender.take_requests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].share == share);
    lender.record_loan(now, requests[0], units, LoanBalance::expiry_of(now));
    const auto loans = lender.take_outgoing(now);
    REQUIRE(loans.size() == 1);
    return loans[0];
}

}  // namespace

TEST_CASE("a loan request is answered once; a loan is taken once, by its borrower, before it expires") {
    QuotaLending a(options, "a", 1000, 1), b(options, "b", 1000, 2), c(options, "c", 1000, 3);
    const members::GossipItem loan = loan_to(a, b, 100, 3);
    CHECK_FALSE(b.receive(200, loan));  // its own, passed on by another
    CHECK(c.receive(200, loan));        // passed on
    CHECK_FALSE(c.receive(200, loan));
    CHECK(c.take_loans().empty());
    CHECK_FALSE(a.receive(300, loan));  // it has reached its borrower
    CHECK_FALSE(a.receive(310, loan));
    const auto taken = a.take_loans();
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].tenant == tenant);
    CHECK(taken[0].units == 3);
    CHECK(taken[0].expires_at == LoanBalance::expiry_of(100));
    // Much later, with a fresh creation time: a loan whose sequence number has been passed is not taken.
    a.take_outgoing(100 + 2 * options.item_lifetime);
    members::GossipItem again = loan;
    again.created_at = 100 + 2 * options.item_lifetime;
    a.receive(100 + 2 * options.item_lifetime, again);
    CHECK(a.take_loans().empty());
    CHECK_FALSE(a.receive(100 + options.item_lifetime, loan));
}

TEST_CASE("a loan to an earlier process is not taken; a lender that has restarted can lend again") {
    QuotaLending a(options, "a", 1000, 1), b(options, "b", 1000, 2);
    const members::GossipItem loan = loan_to(a, b, 100, 3);
    QuotaLending later(options, "a", 2000, 1);
    later.receive(200, loan);
    CHECK(later.take_loans().empty());
    QuotaLending again(options, "b", 2000, 2);
    const members::GossipItem other = loan_to(later, again, 60000, 2);
    later.receive(60100, other);
    CHECK(later.take_loans().size() == 1);
}

TEST_CASE("loan requests without effect back off; a gateway with the same shortage does not answer") {
    QuotaLending a(options, "a", 1000, 1), b(options, "b", 1000, 2);
    int sent = 0;
    for (Time now = 100; now < 400000; now += 500) {
        a.report_shortage(now, share, 1);
        for (const members::GossipItem& request : a.take_outgoing(now)) {
            ++sent;
            b.report_shortage(now, share, 1);
            b.receive(now, request);
        }
        CHECK(b.take_requests().empty());
    }
    CHECK(sent >= 10);
    CHECK(sent <= 16);  // every 250 ms at first, doubled up to 4 s: 14 in 40 s
    QuotaLending tiny(options, "t", 1000, 1);
    tiny.report_shortage(100, {tenant, 1, 40, 0.0005, 20}, 1);
    CHECK(tiny.take_outgoing(100).empty());
}

TEST_CASE("a gateway that the counter answers lends nothing until the counter has been silent for a while") {
    QuotaLending a(options, "a", 1000, 1), b(options, "b", 1000, 2);
    b.counter_answered(100);
    a.report_shortage(100, share, 1);
    CHECK(b.receive(100, a.take_outgoing(100).at(0)));
    CHECK(b.take_requests().empty());
    const Time later = 100 + options.counter_silence;
    a.report_shortage(later, share, 1);
    CHECK(b.receive(later, a.take_outgoing(later).at(0)));
    CHECK(b.take_requests().size() == 1);
}

TEST_CASE("truncated and invalid items are dropped") {
    QuotaLending a(options, "a", 1000, 1), b(options, "b", 1000, 2);
    members::GossipItem loan = loan_to(a, b, 100, 3);
    for (std::size_t n = 0; n < loan.payload.size(); ++n) {
        members::GossipItem truncated = loan;
        truncated.payload.resize(n);
        a.receive(200, truncated);
    }
    members::GossipItem other = loan;
    other.key += "1";
    a.receive(200, other);
    other = loan;
    other.time_to_live = 10 * options.item_lifetime;
    a.receive(200, other);
    CHECK(a.take_loans().empty());
}

namespace {

// Two gateways and the items in transit between them. Each step is one of: a has a shortage, an item arrives
// (and may arrive again), time passes, a restarts; b lends whatever it is asked for. The loans that a takes
// must be the loans that b made, once each.
struct World {
    QuotaLending a{options, "a", 1000, 1}, b{options, "b", 1000, 2};
    std::vector<members::GossipItem> in_transit;
    Time now = 100000;
    std::uint64_t started = 1000;
    std::multiset<double> lent, credited;
    double next = 1;
};

struct Found {
    std::uint64_t states = 0;
    bool twice = false;
};

void explore(const World& world, int depth, bool forgetful, Found& found) {
    ++found.states;
    for (const double one : world.credited)
        found.twice |= world.credited.count(one) > 1 || !world.lent.contains(one);
    if (depth == 0 || found.twice) return;
    const auto step = [&](const std::function<void(World&)>& what) {
        World then = world;
        what(then);
        for (const members::GossipItem& item : then.a.take_outgoing(then.now))
            then.in_transit.push_back(item);
        // Each loan has another amount, by which it is recognised.
        for (const LoanRequest& request : then.b.take_requests()) {
            then.lent.insert(then.next);
            then.b.record_loan(then.now, request, then.next++, LoanBalance::expiry_of(then.now));
        }
        for (const members::GossipItem& item : then.b.take_outgoing(then.now))
            then.in_transit.push_back(item);
        for (const Loan& loan : then.a.take_loans()) then.credited.insert(loan.units);
        explore(then, depth - 1, forgetful, found);
    };
    if (world.in_transit.size() < 3) step([](World& w) { w.a.report_shortage(w.now, share, 1); });
    for (std::size_t n = 0; n < world.in_transit.size(); ++n) {
        const auto arrives = [n, forgetful](World& w) {
            const members::GossipItem item = w.in_transit[n];
            if (forgetful) w.a = QuotaLending(options, "a", 1000, 1);  // the fault that the search must find
            w.a.receive(w.now, item), w.b.receive(w.now, item);
        };
        step(arrives);
        step([&](World& w) { arrives(w), w.in_transit.erase(w.in_transit.begin() + static_cast<long>(n)); });
    }
    step([](World& w) { w.now += options.item_lifetime / 2; });
    step([](World& w) { w.a = QuotaLending(options, "a", w.started += 1000, 1); });
}

}  // namespace

TEST_CASE(
    "no order of messages, losses, repeats, pauses and restarts credits a loan twice (explored to a depth)") {
    Found found;
    explore({}, 7, false, found);
    CHECK_FALSE(found.twice);
    MESSAGE("depth 7: " << found.states << " states");
    CHECK(found.states > 50000);
    Found faulty;
    explore({}, 7, true, faulty);
    CHECK(faulty.twice);  // a borrower that forgets which loans it took is detected
}
