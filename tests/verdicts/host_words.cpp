// Host observations: merging, expiry and weights; an origin that reports falsely loses weight.
#include "verdicts/host_words.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

constexpr Time a_second = 10000;
const ObservationOptions terms;

HostObservation ejected(const std::string& host, const std::string& by, Time created_at,
                        std::uint64_t sequence = 1) {
    return {host, by, HostCondition::ejected, sequence, created_at, terms.time_to_live, created_at};
}
HostObservation healthy(const std::string& host, const std::string& by, Time created_at,
                        std::uint64_t sequence = 1) {
    return {host, by, HostCondition::healthy, sequence, created_at, terms.time_to_live, created_at};
}

}  // namespace

TEST_CASE("an observation survives encoding and decoding; other and truncated items are rejected") {
    HostObservation read;
    REQUIRE(host_observation_of(item_of(healthy("host-7", "g/1", 500, 9)), read));
    CHECK(read.host == "host-7");
    CHECK(read.origin == "g/1");
    CHECK(read.condition == HostCondition::healthy);
    CHECK(read.sequence == 9);
    CHECK(read.created_at == 500);
    members::GossipItem other = item_of(ejected("h", "g", 1));
    other.key = "quota/x";
    CHECK_FALSE(host_observation_of(other, read));
    other = item_of(ejected("h", "g", 1));
    for (std::size_t n = 0; n < other.payload.size(); ++n) {
        members::GossipItem torn = other;
        torn.payload.resize(n);
        CHECK_FALSE(host_observation_of(torn, read));
    }
}

TEST_CASE(
    "merging in any order, any number of times, gives the same result, and nothing has effect once expired") {
    boost::random::mt19937 rng(5);
    const auto draw = [&](int most) { return boost::random::uniform_int_distribution<>(0, most)(rng); };
    for (int play = 0; play < 200; ++play) {
        std::vector<HostObservation> said;
        for (int n = 0; n < 14; ++n) {
            const std::string by = "g" + std::to_string(draw(3)), host = "h" + std::to_string(draw(1));
            const auto sequence = static_cast<std::uint64_t>(draw(5));
            // An origin has one observation under one sequence number.
            const Time created_at = static_cast<Time>(sequence) * 1000;
            said.push_back((sequence + by.size() + static_cast<std::uint64_t>(by[1])) % 2
                               ? ejected(host, by, created_at, sequence)
                               : healthy(host, by, created_at, sequence));
        }
        const auto told = [&](const std::vector<HostObservation>& all) {
            HostObservations words(terms, "me", 1);
            for (const HostObservation& one : all) words.receive(10000, one);
            std::string sum;
            for (const char* const host : {"h0", "h1"}) {
                const auto doubt = words.suspicion_of(10000, host);
                sum += std::to_string(doubt.score) + " " + std::to_string(doubt.failing_count) + " " +
                       std::to_string(doubt.healthy_count) + " " + std::to_string(doubt.last_failure) + ";";
            }
            const auto late = words.suspicion_of(10000 + terms.time_to_live, "h0");
            CHECK(late.failing_count + late.healthy_count == 0);
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

TEST_CASE("an observation lives while its origin repeats it, and expires when the origin is gone") {
    HostObservations one(terms, "g1", 100), two(terms, "g2", 100);
    one.observe(0, "h", HostCondition::ejected);
    Time now = 0;
    for (; now < 20 * a_second; now += a_second / 2) {
        for (const HostObservation& word : one.take_outgoing(now)) two.receive(now, word);
        CHECK(two.suspicion_of(now, "h").failing_count == 1);
    }
    const Time gone = now;
    for (; now < gone + 2 * terms.time_to_live; now += a_second / 2)
        if (now >= gone + terms.time_to_live) CHECK(two.suspicion_of(now, "h").failing_count == 0);
    CHECK(two.take_changed(now) == std::vector<std::string>{"h"});
    // Restored: published once, not repeated.
    one.observe(now, "h", HostCondition::healthy);
    CHECK(one.take_outgoing(now).size() == 1);
    CHECK(one.take_outgoing(now + terms.time_to_live).empty());
    one.take_changed(now + 10 * terms.time_to_live);
    CHECK(one.live_observations(now + 10 * terms.time_to_live).empty());
}

TEST_CASE(
    "a fresh response of our own contradicts peers, and a wrong origin loses weight until it is right "
    "again") {
    HostObservations words(terms, "me", 1);
    Time now = a_second;
    for (std::uint64_t n = 1; n <= 12; ++n, now += a_second) {
        // The origin `liar` reports a host as failing that answers us.
        words.receive(now, ejected("good", "liar", now, n));
        words.attempt_ended(now + 100, "good", HostObservations::AttemptResult::succeeded, 30);
        const auto told = words.take_outgoing(now + 200);
        if (n == 1) REQUIRE(told.size() == 1);
        if (n == 1) CHECK(told[0].condition == HostCondition::healthy);
    }
    CHECK(words.weight(now, "liar") < 0.75);
    const double lied = words.weight(now, "liar");
    for (std::uint64_t n = 1; n <= 12; ++n, now += a_second) {
        words.receive(now, ejected("bad", "liar", now, 100 + n));
        words.observe(now + 100, "bad", HostCondition::ejected);
    }
    CHECK(words.weight(now, "liar") > std::max(0.9, lied));
    CHECK(words.weight(now, "another") == 1);
}

TEST_CASE("opposing observations: the suspicion score is the difference of their weights") {
    HostObservations words(terms, "me", 1);
    words.receive(0, ejected("h", "a", 0));
    words.receive(0, ejected("h", "b", 10));
    CHECK(words.suspicion_of(20, "h").score == doctest::Approx(2));
    CHECK(words.suspicion_of(20, "h").last_failure == 10);
    words.receive(20, healthy("h", "c", 20));  // observed after them: the host has recovered
    CHECK(words.suspicion_of(20, "h").score == doctest::Approx(-1));
    words.receive(30, ejected("h", "a", 30, 2));
    CHECK(words.suspicion_of(30, "h").score == doctest::Approx(0));
    words.receive(30, ejected("h", "b", 30, 2));
    CHECK(words.suspicion_of(30, "h").score == doctest::Approx(1));
    words.attempt_ended(35, "h", HostObservations::AttemptResult::succeeded,
                        30);  // our own response overrides both
    CHECK(words.suspicion_of(35, "h").score == doctest::Approx(-1));
    words.receive(36, ejected("h", "b", 36, 3));  // with a reduced weight
    CHECK(words.suspicion_of(36, "h").score == doctest::Approx(-0.3));
    // A repetition without a new event adds nothing.
    HostObservation repeated = ejected("h", "a", 40, 3);
    repeated.observed_at = 30;
    words.receive(40, repeated);
    CHECK(words.suspicion_of(40, "h").score == doctest::Approx(-0.3));
    CHECK_FALSE(words.receive(40, ejected("h", "a", 5, 1)));      // older than its last
    CHECK_FALSE(words.receive(40, ejected("h", "me", 40, 999)));  // our own, passed on by a peer
    CHECK_FALSE(words.receive(
        40, {"h", "d", HostCondition::ejected, 1, 40, 100 * terms.time_to_live}));  // lives too long
}

TEST_CASE("old observations are not repeated, and a failure that enough peers report is not published") {
    HostObservations words(terms, "me", 1);
    words.observe(0, "h", HostCondition::ejected);
    int told = 0;
    Time now = 0, last = 0;
    for (; now < 2 * terms.max_observation_age; now += a_second / 2)
        if (!words.take_outgoing(now).empty()) {
            ++told;
            last = now;
        }
    CHECK(told >= terms.max_observation_age / terms.time_to_live);
    CHECK(last < terms.max_observation_age);
    words.attempt_ended(now, "h", HostObservations::AttemptResult::failed, 30);  // another failed attempt
    CHECK(words.take_outgoing(now + terms.time_to_live).size() == 1);

    HostObservations polite(terms, "me", 1);
    for (const char* const by : {"a", "b", "c", "d"}) polite.receive(0, ejected("h", by, 0));
    polite.observe(10, "h", HostCondition::ejected);
    CHECK(polite.take_outgoing(10).empty());
    now = terms.time_to_live + 10;  // the peers' have expired, ours stands
    CHECK(polite.take_outgoing(now).size() == 1);
    // Health is published even if peers have reported it.
    polite.observe(now, "h", HostCondition::healthy);
    CHECK(polite.take_outgoing(now).size() == 1);
}

namespace {

// Completes `pieces` attempts at the host, each in time `took`.
void deliver(HostObservations& words, Time& now, const std::string& host, Time took, int pieces = 200) {
    for (int n = 0; n < pieces; ++n) {
        words.attempt_started(now, host);
        words.attempt_ended(now += took, host, HostObservations::AttemptResult::succeeded, took);
    }
}

}  // namespace

TEST_CASE("an attempt that takes too long makes the host unresponsive, once, until the next response") {
    HostObservations words(terms, "me", 1);
    Time now = a_second;
    // Without a successful attempt there is no average latency to compare with.
    CHECK(words.attempt_started(now, "h") > now + 1000 * a_second);
    CHECK(words.take_outgoing(now + 100 * a_second).empty());
    words.attempt_ended(now, "h", HostObservations::AttemptResult::inconclusive, 0);
    deliver(words, now, "h", 300);
    const Time sent = now, due = words.attempt_started(now, "h");
    CHECK(due > now + 3 * 300);
    CHECK(due < now + 10 * 300);
    words.attempt_started(now + 100, "h");  // a second attempt does not restart the timeout
    CHECK(words.next_timer(now + 200) == due);
    CHECK(words.take_outgoing(due - 1).empty());
    const auto told = words.take_outgoing(due);
    REQUIRE(told.size() == 1);
    CHECK(told[0].condition == HostCondition::unresponsive);
    CHECK(told[0].observed_at == sent);
    CHECK(words.take_outgoing(due + terms.time_to_live).empty());
    // A response: health is published, and the timeout of the remaining attempt restarts.
    words.attempt_ended(due + 100, "h", HostObservations::AttemptResult::succeeded, due - sent);
    const auto healthy_again = words.take_outgoing(due + 100);
    REQUIRE(healthy_again.size() == 1);
    CHECK(healthy_again[0].condition == HostCondition::healthy);
    CHECK(words.take_outgoing(due + 3 * (due - sent)).size() == 1);
    // Cancelled: nothing is in flight any more.
    words.attempt_ended(due + 4 * (due - sent), "h", HostObservations::AttemptResult::inconclusive, 0);
    CHECK(words.take_outgoing(due + 100 * a_second).empty());
}

TEST_CASE("unresponsive counts half, three such origins suffice, and any response overrides them") {
    const auto unresponsive = [](const std::string& by, Time found, Time created_at) {
        return HostObservation{"h",  by, HostCondition::unresponsive, 1, created_at, terms.time_to_live,
                               found};
    };
    HostObservations words(terms, "me", 1);
    Time now = a_second;
    deliver(words, now, "h", 300);
    const Time last = now;
    now += 10 * a_second;
    words.receive(now, unresponsive("a", now - 2000, now));
    words.receive(now, unresponsive("b", now - 1000, now));
    CHECK(words.suspicion_of(now, "h").score == doctest::Approx(1));
    // Our own observation counts half as well.
    const Time due = words.attempt_started(now, "h");
    words.take_outgoing(due);
    CHECK(words.suspicion_of(due, "h").score == doctest::Approx(1.5));
    CHECK(words.suspicion_of(due, "h").last_failure == now - 1000);
    // An origin that had a response after those attempts were sent overrides them at once.
    words.receive(due, healthy("h", "c", due));
    CHECK(words.suspicion_of(due, "h").score <= 0);
    // A refuted observation of unresponsiveness costs its origin no weight; one of ejection would.
    HostObservations speaks(terms, "me", 1);
    Time then = last;
    deliver(speaks, then, "h", 300);
    speaks.receive(then, unresponsive("a", then - 2000, then));
    const auto told = speaks.take_outgoing(then);
    REQUIRE(told.size() == 1);
    CHECK(told[0].condition == HostCondition::healthy);
    CHECK(speaks.weight(then, "a") == 1);
}
