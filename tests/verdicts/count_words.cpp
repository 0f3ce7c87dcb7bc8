// Words of the counter's totals: two origins at least, the later over the earlier, and no more said than is
// news.
#include "verdicts/count_words.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

const CountTerms terms;
constexpr std::uint64_t name = 7ULL << 30 | 5;

members::Word word_of(const std::string& by, Time at, double total) {
    CountWords origin(terms, by);
    CHECK(origin.told(at, name, total));
    return origin.to_tell().at(0);
}

}  // namespace

TEST_CASE(
    "what two others were told is known, what one was is not; a later word replaces; all ends with its "
    "life") {
    CountWords ours(terms, "me");
    CHECK(ours.came(0, word_of("a", 0, 12)));
    CHECK(ours.known(0, name) == 0);
    CHECK(ours.came(10, word_of("b", 10, 9)));
    CHECK(ours.known(10, name) == 9);
    CHECK(ours.came(20, word_of("b", 20, 14)));
    CHECK(ours.known(20, name) == 12);
    CHECK_FALSE(ours.came(30, word_of("b", 30, 10)));     // before what it said
    CHECK_FALSE(ours.came(30, word_of("me", 30, 1000)));  // ours, by another's mouth
    CHECK(ours.came(30, word_of("liar", 30, 1e9)));       // one alone moves it no further than another has it
    CHECK(ours.known(30, name) == 14);
    CHECK(ours.known(20 + terms.life, name) == 0);
    ours.forget(30 + terms.life);
    CHECK(ours.all(30 + terms.life).empty());
}

TEST_CASE("words come to the same in any order; torn, foreign and endless ones are none") {
    boost::random::mt19937 chance(3);
    std::vector<members::Word> said;
    for (int n = 0; n < 12; ++n) said.push_back(word_of("g" + std::to_string(n % 4), 0, 4 + n * n % 17));
    CountWords once(terms, "me");
    for (const members::Word& one : said) once.came(1, one);
    for (int order = 0; order < 20; ++order) {
        for (std::size_t n = said.size(); n > 1; --n) std::swap(said[n - 1], said[chance() % n]);
        CountWords again(terms, "me");
        for (int times = 0; times < 2; ++times)
            for (const members::Word& one : said) again.came(1, one);
        CHECK(again.known(1, name) == once.known(1, name));
    }
    const members::Word whole = word_of("x", 0, 50);
    members::Word torn = whole, foreign = whole, endless = whole, ahead = whole;
    torn.bytes.pop_back();
    foreign.key += "y";
    endless.life = 3 * terms.life;
    ahead.rank += 1;
    for (const members::Word& one : {torn, foreign, endless, ahead}) CHECK_FALSE(once.came(1, one));
    CHECK_FALSE(once.came(terms.life, whole));
}

TEST_CASE("little, nearly the same, and what two others say already is no news") {
    CountWords ours(terms, "me");
    CHECK_FALSE(ours.told(0, name, terms.least / 2));
    CHECK(ours.told(0, name, 10));
    CHECK_FALSE(ours.told(0, name, 10 * (terms.growth + 1) / 2));
    CHECK(ours.told(0, name, 10 * terms.growth));
    CHECK(ours.to_tell().size() == 2);
    ours.came(0, word_of("a", 0, 100));
    CHECK(ours.told(0, name, 100));
    ours.came(0, word_of("b", 0, 200));
    ours.came(0, word_of("a", 0, 200));
    CHECK_FALSE(ours.told(0, name, 210));
}
