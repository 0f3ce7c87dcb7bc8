// Words of lists: who drains, who has started again, by lists later than ours alone.
#include "verdicts/list_words.h"

#include <doctest/doctest.h>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

constexpr Time life = 100000;
using Hosts = std::vector<ListedHost>;

void pass(Time now, ListWords& from, ListWords& to, bool fresh = true) {
    for (const members::Word& word : from.to_tell()) CHECK(to.came(now, word) == fresh);
}

}  // namespace

TEST_CASE(
    "a drain that one list says reaches one whose list is late, and ends with its own list or its life") {
    ListWords early(life), late(life);
    for (ListWords* const one : {&early, &late}) one->told(0, 5, true, {{"h"}, {"i"}, {"j"}});
    CHECK(early.to_tell().empty());  // what is known from the start is nobody's news
    early.told(100, 6, false, {{"h", false}});
    pass(110, early, late);
    CHECK(late.changed(110) == std::vector<std::string>{"h"});
    CHECK(late.said_of(110, "h").draining);
    CHECK(late.said_of(110, "h").until == 100 + life);
    CHECK_FALSE(late.said_of(110, "i").draining);
    SUBCASE("its own list") {
        late.told(200, 6, false, {{"h", false}});
        CHECK(late.changed(200) == std::vector<std::string>{"h"});
        CHECK(late.said_of(200, "h").until == 0);
        CHECK(late.to_tell().empty());  // it has come by word, and goes on by that
    }
    SUBCASE("a later word: it is ready again, as a new process") {
        early.told(300, 7, false, {{"h", true, 290}});
        pass(310, early, late);
        CHECK_FALSE(late.said_of(310, "h").draining);
        CHECK(late.said_of(310, "h").up_since == 290);
    }
    SUBCASE("its life") {
        CHECK(late.said_of(100 + life, "h").until == 0);
        CHECK(late.changed(100 + life) == std::vector<std::string>{"h"});
        CHECK(late.all(100 + life).empty());
    }
    SUBCASE("a whole list leaves one out") {
        early.told(300, 8, true, {{"h", false}, {"i"}});
        const auto told = early.to_tell();
        REQUIRE(told.size() == 1);
        CHECK(late.came(310, told[0]));
        CHECK(late.said_of(310, "j").draining);
    }
}

TEST_CASE("a word by a list as old as ours, older, torn, past its life or for too long counts nothing") {
    ListWords other(life), ours(life);
    other.told(0, 5, true, {{"h"}});
    ours.told(0, 6, true, {{"h"}});
    other.told(10, 6, false, {{"h", false}});
    const members::Word word = other.to_tell().at(0);
    CHECK_FALSE(ours.came(20, word));
    members::Word later = word;
    later.rank = 9;
    members::Word torn = later, foreign = later, lasting = later;
    torn.bytes.pop_back();
    foreign.key = "list/i";
    lasting.life = 3 * life;
    for (const members::Word& one : {torn, foreign, lasting}) CHECK_FALSE(ours.came(20, one));
    CHECK_FALSE(ours.came(later.born + life, later));
    CHECK(ours.came(20, later));
    CHECK_FALSE(ours.came(30, later));  // once
    CHECK(ours.said_of(30, "h").draining);
    // That a host is ready where ours drains is no leave to send there.
    ours.told(40, 10, false, {{"h", false}});
    later.rank = 12;
    other.told(50, 12, false, {{"h", true, 0}});
    CHECK(other.to_tell().empty());
}
