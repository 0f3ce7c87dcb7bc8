// The stages, with a fleet that is played: killed controllers, gateways that die, hang, or never get ready.
#include "rollout/machine.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <functional>

using namespace dewweir;
using namespace dewweir::rollout;

namespace {

constexpr Time a_second = 10000;

MachineTerms terms_for(std::size_t gateways) {
    MachineTerms terms;
    terms.stages = {1, (gateways + 1) / 2, gateways};
    terms.least_time = 5 * a_second, terms.longest = 60 * a_second;
    terms.ready_within = 5 * a_second, terms.end_within = 3 * a_second;
    terms.stay = gateways / 2;
    return terms;
}

struct Fleet {
    struct One {
        Version runs = Version::old, ended = Version::none;
        Time ready_at = 0, ends_at = 0;
        bool failed = false;
    };
    explicit Fleet(std::size_t n) : all(n), machine(terms_for(n), n, a_second, {}) {}

    // A step each half second, for so long or until it is over.
    void run(Time most, const std::function<void()>& between = {}) {
        for (const Time end = now + most; now < end && !machine.over(); now += a_second / 2) {
            for (One& one : all)
                if (one.ends_at && now >= one.ends_at)
                    one.ended = one.runs, one.runs = Version::none, one.ends_at = 0;
            std::vector<Seen> seen;
            std::size_t ready = 0;
            for (const One& one : all) {
                const bool serves = one.runs != Version::none && now >= one.ready_at;
                const bool hidden = serves && seen.size() < unseen;
                seen.push_back({one.runs, serves && !hidden,
                                one.runs == Version::none ? one.ended : Version::none, one.failed, "",
                                hidden});
                ready += serves;
            }
            fewest = std::min(fewest, ready);
            for (const Act& act : machine.step(now, seen, verdict, "because", true, stop)) carry_out(act);
            if (between) between();
        }
    }
    void carry_out(const Act& act) {
        One& one = all[act.gateway];
        if (act.what == Act::What::end && !deaf) one.ends_at = now + a_second;
        if (act.what == Act::What::kill) one.ended = one.runs, one.runs = Version::none, one.ends_at = 0;
        if (act.what != Act::What::start) return;
        REQUIRE(one.runs == Version::none);  // never twice
        ++starts;
        one.failed = fails && act.version == Version::fresh;
        if (one.failed || (mute && act.version == Version::fresh)) return;
        one.runs = act.version;
        one.ready_at = now + (act.version == Version::fresh ? fresh_takes : a_second);
    }
    bool all_run(Version version) const {
        return std::all_of(all.begin(), all.end(), [&](const One& one) { return one.runs == version; });
    }

    std::vector<One> all;
    Machine machine;
    Time now = a_second, fresh_takes = a_second;
    Judgement verdict = Judgement::passes;
    std::string stop;
    bool deaf = false, fails = false, mute = false;
    std::size_t fewest = 1000, unseen = 0;  // the first so many are hidden from the controller
    int starts = 0;
};

}  // namespace

TEST_CASE("forward through all stages, with no more down at once than may be") {
    Fleet fleet(8);
    fleet.run(300 * a_second);
    CHECK(fleet.machine.position().phase == Phase::done);
    CHECK(fleet.all_run(Version::fresh));
    CHECK(fleet.starts == 8);
    CHECK(fleet.fewest >= 7);
}

TEST_CASE(
    "a worse verdict, a stop from elsewhere, a crash, one that never starts or gets ready: back, all old") {
    Fleet fleet(6);
    std::string why;
    fleet.run(6 * a_second);
    REQUIRE(fleet.machine.position().phase == Phase::watch);
    SUBCASE("worse") { fleet.verdict = Judgement::worse, why = "because"; }
    SUBCASE("a stop") { fleet.stop = "rule 1 broken", why = "rule 1"; }
    SUBCASE("no verdict in the longest time") { fleet.verdict = Judgement::unknown, why = "no verdict"; }
    SUBCASE("the whole is worse, for too long") {
        fleet.verdict = Judgement::whole_worse, why = "no verdict";
    }
    SUBCASE("a new one ends by itself") { fleet.all[0].ends_at = fleet.now, why = "ended by itself"; }
    SUBCASE("the next does not start") { fleet.fails = true, why = "does not start"; }
    SUBCASE("the next never comes up at all") { fleet.mute = true, why = "did not come up"; }
    SUBCASE("the next never gets ready") { fleet.fresh_takes = 1000 * a_second, why = "not ready within"; }
    SUBCASE("worse, and deaf to SIGTERM") {
        fleet.verdict = Judgement::worse, fleet.deaf = true, why = "because";
    }
    fleet.run(400 * a_second);
    CHECK(fleet.machine.position().phase == Phase::taken_back);
    CHECK_MESSAGE(fleet.machine.position().why.find(why) != std::string::npos, fleet.machine.position().why);
    CHECK(fleet.all_run(Version::old));
    CHECK(fleet.fewest >= 5);
}

TEST_CASE("an old gateway that dies is started again, and nothing is stopped; a stranger is left alone") {
    Fleet fleet(6);
    fleet.run(6 * a_second);
    fleet.all[5].ends_at = fleet.now;
    fleet.run(300 * a_second);
    CHECK(fleet.machine.position().phase == Phase::done);
    Fleet other(4);
    other.all[3].runs = Version::other;
    other.run(50 * a_second);
    CHECK(other.all[3].runs == Version::other);
    CHECK(other.machine.position().phase == Phase::past);
    CHECK(other.machine.waits_for().size() > 0);
}

TEST_CASE("half of the fleet out of sight: nobody is blamed, nothing begins, and back is still to be had") {
    Fleet fleet(6);
    fleet.run(6 * a_second);
    REQUIRE(fleet.machine.position().phase == Phase::watch);
    fleet.unseen = 3;
    const int starts = fleet.starts;
    SUBCASE("it heals") {
        fleet.run(60 * a_second);
        CHECK(fleet.starts == starts);
        CHECK_FALSE(fleet.machine.over());
        CHECK(fleet.machine.waits_for().size() > 0);
        fleet.unseen = 0;
        fleet.run(300 * a_second);
        CHECK(fleet.machine.position().phase == Phase::done);
    }
    SUBCASE("it is taken back meanwhile") {
        fleet.verdict = Judgement::worse;
        fleet.run(60 * a_second);
        CHECK(fleet.all_run(Version::old));
        CHECK_FALSE(fleet.machine.over());  // not before all have been seen
        fleet.unseen = 0;
        fleet.run(10 * a_second);
        CHECK(fleet.machine.position().phase == Phase::taken_back);
    }
    CHECK(fleet.fewest >= 5);
}

TEST_CASE("held: nothing further begins, and it goes on") {
    Fleet fleet(4);
    fleet.run(4 * a_second);
    fleet.machine.hold(true);
    const int starts = fleet.starts;
    fleet.run(100 * a_second);
    CHECK(fleet.starts <= starts + 1);
    CHECK_FALSE(fleet.machine.over());
    fleet.machine.hold(false);
    fleet.run(300 * a_second);
    CHECK(fleet.machine.position().phase == Phase::done);
}

TEST_CASE(
    "a controller lost at any step, knowing its position alone, goes on or back, and starts none twice") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        boost::random::mt19937 chance(seed);
        boost::random::uniform_int_distribution<int> die(0, 9);
        Fleet fleet(5);
        if (seed % 2) fleet.verdict = seed % 4 == 1 ? Judgement::worse : Judgement::unknown;
        fleet.run(2000 * a_second, [&] {
            if (die(chance) == 0)
                fleet.machine = Machine(terms_for(5), 5, fleet.now, Position(fleet.machine.position()));
        });
        REQUIRE(fleet.machine.over());
        CHECK(fleet.all_run(seed % 2 ? Version::old : Version::fresh));
        CHECK(fleet.fewest >= 4);
    }
}
