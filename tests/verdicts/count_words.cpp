// Counter totals: at least two origins are needed, later items replace earlier ones, and only significant
// changes are published.
#include "verdicts/count_words.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

const CounterTotalOptions terms;
constexpr std::uint64_t name = 7ULL << 30 | 5;

members::GossipItem word_of(const std::string& by, Time at, double total) {
    CounterTotals origin(terms, by);
    CHECK(origin.record(at, name, total));
    return origin.take_outgoing().at(0);
}

}  // namespace

TEST_CASE(
    "a total that two peers have is corroborated, a single one is not; later items replace, and all expire") {
    CounterTotals ours(terms, "me");
    CHECK(ours.receive(0, word_of("a", 0, 12)));
    CHECK(ours.corroborated(0, name) == 0);
    CHECK(ours.receive(10, word_of("b", 10, 9)));
    CHECK(ours.corroborated(10, name) == 9);
    CHECK(ours.receive(20, word_of("b", 20, 14)));
    CHECK(ours.corroborated(20, name) == 12);
    CHECK_FALSE(ours.receive(30, word_of("b", 30, 10)));     // older than its last
    CHECK_FALSE(ours.receive(30, word_of("me", 30, 1000)));  // our own, passed on by a peer
    CHECK(
        ours.receive(30, word_of("liar", 30, 1e9)));  // a single origin cannot raise it above another's total
    CHECK(ours.corroborated(30, name) == 14);
    CHECK(ours.corroborated(20 + terms.time_to_live, name) == 0);
    ours.remove_expired(30 + terms.time_to_live);
    CHECK(ours.live_items(30 + terms.time_to_live).empty());
}

TEST_CASE(
    "any order of items gives the same totals; truncated, foreign and too long-lived items are rejected") {
    boost::random::mt19937 chance(3);
    std::vector<members::GossipItem> said;
    for (int n = 0; n < 12; ++n) said.push_back(word_of("g" + std::to_string(n % 4), 0, 4 + n * n % 17));
    CounterTotals once(terms, "me");
    for (const members::GossipItem& one : said) once.receive(1, one);
    for (int order = 0; order < 20; ++order) {
        for (std::size_t n = said.size(); n > 1; --n) std::swap(said[n - 1], said[chance() % n]);
        CounterTotals again(terms, "me");
        for (int times = 0; times < 2; ++times)
            for (const members::GossipItem& one : said) again.receive(1, one);
        CHECK(again.corroborated(1, name) == once.corroborated(1, name));
    }
    const members::GossipItem whole = word_of("x", 0, 50);
    members::GossipItem torn = whole, foreign = whole, endless = whole, ahead = whole;
    torn.payload.pop_back();
    foreign.key += "y";
    endless.time_to_live = 3 * terms.time_to_live;
    ahead.sequence += 1;
    for (const members::GossipItem& one : {torn, foreign, endless, ahead}) CHECK_FALSE(once.receive(1, one));
    CHECK_FALSE(once.receive(terms.time_to_live, whole));
}

TEST_CASE("small totals, small growth and totals that two peers already report are not published") {
    CounterTotals ours(terms, "me");
    CHECK_FALSE(ours.record(0, name, terms.min_total / 2));
    CHECK(ours.record(0, name, 10));
    CHECK_FALSE(ours.record(0, name, 10 * (terms.min_growth + 1) / 2));
    CHECK(ours.record(0, name, 10 * terms.min_growth));
    CHECK(ours.take_outgoing().size() == 2);
    ours.receive(0, word_of("a", 0, 100));
    CHECK(ours.record(0, name, 100));
    ours.receive(0, word_of("b", 0, 200));
    ours.receive(0, word_of("a", 0, 200));
    CHECK_FALSE(ours.record(0, name, 210));
}
