// Words of hosts: how they merge, age and weigh; who lies is heard less.
#include "verdicts/host_words.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

constexpr Time a_second = 10000;
const WordTerms terms;

HostWord shut(const std::string& host, const std::string& by, Time born, std::uint64_t rank = 1) {
    return {host, by, Finding::shut, rank, born, terms.life, born};
}
HostWord well(const std::string& host, const std::string& by, Time born, std::uint64_t rank = 1) {
    return {host, by, Finding::well, rank, born, terms.life, born};
}

}  // namespace

TEST_CASE("a word goes as it came; what is none is told apart") {
    HostWord read;
    REQUIRE(host_word_of(word_of(well("host-7", "g/1", 500, 9)), read));
    CHECK(read.host == "host-7");
    CHECK(read.origin == "g/1");
    CHECK(read.finding == Finding::well);
    CHECK(read.rank == 9);
    CHECK(read.born == 500);
    members::Word other = word_of(shut("h", "g", 1));
    other.key = "quota/x";
    CHECK_FALSE(host_word_of(other, read));
    other = word_of(shut("h", "g", 1));
    for (std::size_t n = 0; n < other.bytes.size(); ++n) {
        members::Word torn = other;
        torn.bytes.resize(n);
        CHECK_FALSE(host_word_of(torn, read));
    }
}

TEST_CASE("merging: any order, any number of times, to the same; and nothing counts past its life") {
    boost::random::mt19937 chance(5);
    const auto draw = [&](int most) { return boost::random::uniform_int_distribution<>(0, most)(chance); };
    for (int play = 0; play < 200; ++play) {
        std::vector<HostWord> said;
        for (int n = 0; n < 14; ++n) {
            const std::string by = "g" + std::to_string(draw(3)), host = "h" + std::to_string(draw(1));
            const auto rank = static_cast<std::uint64_t>(draw(5));
            // One origin says one thing under one number.
            const Time born = static_cast<Time>(rank) * 1000;
            said.push_back((rank + by.size() + static_cast<std::uint64_t>(by[1])) % 2
                               ? shut(host, by, born, rank)
                               : well(host, by, born, rank));
        }
        const auto told = [&](const std::vector<HostWord>& all) {
            HostWords words(terms, "me", 1);
            for (const HostWord& one : all) words.came(10000, one);
            std::string sum;
            for (const char* const host : {"h0", "h1"}) {
                const auto doubt = words.doubt_of(10000, host);
                sum += std::to_string(doubt.doubt) + " " + std::to_string(doubt.shut_by) + " " +
                       std::to_string(doubt.well_by) + " " + std::to_string(doubt.found) + ";";
            }
            const auto late = words.doubt_of(10000 + terms.life, "h0");
            CHECK(late.shut_by + late.well_by == 0);
            return sum;
        };
        const std::string once = told(said);
        for (int order = 0; order < 4; ++order) {
            for (std::size_t n = said.size(); n > 1; --n)
                std::swap(said[n - 1], said[static_cast<std::size_t>(draw(static_cast<int>(n) - 1))]);
            said.push_back(said[0]);
            CHECK(told(said) == once);
        }
    }
}

TEST_CASE("a word holds as long as its origin repeats it, and ages out when the origin is gone") {
    HostWords one(terms, "g1", 100), two(terms, "g2", 100);
    one.found(0, "h", Finding::shut);
    Time now = 0;
    for (; now < 20 * a_second; now += a_second / 2) {
        for (const HostWord& word : one.to_tell(now)) two.came(now, word);
        CHECK(two.doubt_of(now, "h").shut_by == 1);
    }
    const Time gone = now;
    for (; now < gone + 2 * terms.life; now += a_second / 2)
        if (now >= gone + terms.life) CHECK(two.doubt_of(now, "h").shut_by == 0);
    CHECK(two.changed(now) == std::vector<std::string>{"h"});
    // Back: one word says so, and no more is said.
    one.found(now, "h", Finding::well);
    CHECK(one.to_tell(now).size() == 1);
    CHECK(one.to_tell(now + terms.life).empty());
    one.changed(now + 10 * terms.life);
    CHECK(one.all(now + 10 * terms.life).empty());
}

TEST_CASE("a fresh answer of our own contradicts, and who was wrong weighs less until it is right again") {
    HostWords words(terms, "me", 1);
    Time now = a_second;
    for (std::uint64_t n = 1; n <= 12; ++n, now += a_second) {
        // The liar calls a host dead that answers us.
        words.came(now, shut("good", "liar", now, n));
        words.ended(now + 100, "good", HostWords::End::well, 30);
        const auto told = words.to_tell(now + 200);
        if (n == 1) REQUIRE(told.size() == 1);
        if (n == 1) CHECK(told[0].finding == Finding::well);
    }
    CHECK(words.weight(now, "liar") < 0.75);
    const double lied = words.weight(now, "liar");
    for (std::uint64_t n = 1; n <= 12; ++n, now += a_second) {
        words.came(now, shut("bad", "liar", now, 100 + n));
        words.found(now + 100, "bad", Finding::shut);
    }
    CHECK(words.weight(now, "liar") > std::max(0.9, lied));
    CHECK(words.weight(now, "another") == 1);
}

TEST_CASE("one against another: the doubt is the difference, and says who") {
    HostWords words(terms, "me", 1);
    words.came(0, shut("h", "a", 0));
    words.came(0, shut("h", "b", 10));
    CHECK(words.doubt_of(20, "h").doubt == doctest::Approx(2));
    CHECK(words.doubt_of(20, "h").found == 10);
    words.came(20, well("h", "c", 20));  // found after them: it is well again, for all we know
    CHECK(words.doubt_of(20, "h").doubt == doctest::Approx(-1));
    words.came(30, shut("h", "a", 30, 2));
    CHECK(words.doubt_of(30, "h").doubt == doctest::Approx(0));
    words.came(30, shut("h", "b", 30, 2));
    CHECK(words.doubt_of(30, "h").doubt == doctest::Approx(1));
    words.ended(35, "h", HostWords::End::well, 30);  // ours says more than both
    CHECK(words.doubt_of(35, "h").doubt == doctest::Approx(-1));
    words.came(36, shut("h", "b", 36, 3));  // which weighs less by then
    CHECK(words.doubt_of(36, "h").doubt == doctest::Approx(-0.3));
    // Repeated, with nothing new seen: it says no more than it did.
    HostWord repeated = shut("h", "a", 40, 3);
    repeated.found = 30;
    words.came(40, repeated);
    CHECK(words.doubt_of(40, "h").doubt == doctest::Approx(-0.3));
    CHECK_FALSE(words.came(40, shut("h", "a", 5, 1)));      // older than what it said since
    CHECK_FALSE(words.came(40, shut("h", "me", 40, 999)));  // ours, by another's mouth
    CHECK_FALSE(words.came(40, {"h", "d", Finding::shut, 1, 40, 100 * terms.life}));  // too long a life
}

TEST_CASE("what was found long ago is told no more, and where enough have said so one more says nothing") {
    HostWords words(terms, "me", 1);
    words.found(0, "h", Finding::shut);
    int told = 0;
    Time now = 0, last = 0;
    for (; now < 2 * terms.evidence; now += a_second / 2)
        if (!words.to_tell(now).empty()) ++told, last = now;
    CHECK(told >= terms.evidence / terms.life);
    CHECK(last < terms.evidence);
    words.ended(now, "h", HostWords::End::failed, 30);  // tried again, in vain
    CHECK(words.to_tell(now + terms.life).size() == 1);

    HostWords polite(terms, "me", 1);
    for (const char* const by : {"a", "b", "c", "d"}) polite.came(0, shut("h", by, 0));
    polite.found(10, "h", Finding::shut);
    CHECK(polite.to_tell(10).empty());
    now = terms.life + 10;  // theirs are over, ours stands
    CHECK(polite.to_tell(now).size() == 1);
    // That it is well is told whoever said so before.
    polite.found(now, "h", Finding::well);
    CHECK(polite.to_tell(now).size() == 1);
}

namespace {

// Has had so many pieces answered there, each in that time.
void deliver(HostWords& words, Time& now, const std::string& host, Time took, int pieces = 200) {
    for (int n = 0; n < pieces; ++n) {
        words.asked(now, host);
        words.ended(now += took, host, HostWords::End::well, took);
    }
}

}  // namespace

TEST_CASE(
    "a piece that waits for longer than pieces do is silence, told once, and over with the first answer") {
    HostWords words(terms, "me", 1);
    Time now = a_second;
    // Nothing delivered yet: nobody knows what is long.
    CHECK(words.asked(now, "h") > now + 1000 * a_second);
    CHECK(words.to_tell(now + 100 * a_second).empty());
    words.ended(now, "h", HostWords::End::nothing, 0);
    deliver(words, now, "h", 300);
    const Time sent = now, due = words.asked(now, "h");
    CHECK(due > now + 3 * 300);
    CHECK(due < now + 10 * 300);
    words.asked(now + 100, "h");  // a second one: the first counts
    CHECK(words.next(now + 200) == due);
    CHECK(words.to_tell(due - 1).empty());
    const auto told = words.to_tell(due);
    REQUIRE(told.size() == 1);
    CHECK(told[0].finding == Finding::quiet);
    CHECK(told[0].found == sent);
    CHECK(words.to_tell(due + terms.life).empty());
    // A sign of life: that it is well is told too, and what is still out waits anew.
    words.ended(due + 100, "h", HostWords::End::well, due - sent);
    const auto well_again = words.to_tell(due + 100);
    REQUIRE(well_again.size() == 1);
    CHECK(well_again[0].finding == Finding::well);
    CHECK(words.to_tell(due + 3 * (due - sent)).size() == 1);
    // Called off: nothing is out, nothing waits.
    words.ended(due + 4 * (due - sent), "h", HostWords::End::nothing, 0);
    CHECK(words.to_tell(due + 100 * a_second).empty());
}

TEST_CASE("silence counts half; three that hear nothing are enough, and anybody's answer sets it aside") {
    const auto quiet = [](const std::string& by, Time found, Time born) {
        return HostWord{"h", by, Finding::quiet, 1, born, terms.life, found};
    };
    HostWords words(terms, "me", 1);
    Time now = a_second;
    deliver(words, now, "h", 300);
    const Time last = now;
    now += 10 * a_second;
    words.came(now, quiet("a", now - 2000, now));
    words.came(now, quiet("b", now - 1000, now));
    CHECK(words.doubt_of(now, "h").doubt == doctest::Approx(1));
    // Ours, too.
    const Time due = words.asked(now, "h");
    words.to_tell(due);
    CHECK(words.doubt_of(due, "h").doubt == doctest::Approx(1.5));
    CHECK(words.doubt_of(due, "h").found == now - 1000);
    // One that had an answer after their pieces were sent says so, and is heard at once by the others.
    words.came(due, well("h", "c", due));
    CHECK(words.doubt_of(due, "h").doubt <= 0);
    // Whose silence is refuted by ours has said nothing wrong; that it called a host failing would be.
    HostWords speaks(terms, "me", 1);
    Time then = last;
    deliver(speaks, then, "h", 300);
    speaks.came(then, quiet("a", then - 2000, then));
    const auto told = speaks.to_tell(then);
    REQUIRE(told.size() == 1);
    CHECK(told[0].finding == Finding::well);
    CHECK(speaks.weight(then, "a") == 1);
}
