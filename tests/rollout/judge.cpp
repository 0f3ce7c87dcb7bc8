// The judge in virtual time: equal programs under troubles that meet all, and defects of each kind.
#include <doctest/doctest.h>

#include <boost/random/binomial_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "rollout/comparison.h"

using namespace dewweir::rollout;

namespace {

struct Defect {
    double bounced = 0, slow = 0, executions = 0, counted = 0, memory = 0;  // memory: kB more a window
    std::size_t from = 0;  // new ones, below which it does not show
};

// A fleet whose gateways differ, under a load that drifts, with troubles that meet all of them now and then.
struct Play {
    Play(std::uint32_t seed, std::size_t gateways, double tries)
        : chance(seed), all(gateways), tries_(tries) {
        for (auto& one : all)
            one = {uniform(0.6, 1.4), uniform(0.02, 0.15), uniform(0.01, 0.05), uniform(4000, 6000)};
    }
    double uniform(double from, double to) {
        return boost::random::uniform_real_distribution<>(from, to)(chance);
    }
    int draw(int n, double part) {
        return boost::random::binomial_distribution<>(n, std::min(1.0, std::max(0.0, part)))(chance);
    }
    Window window(std::size_t fresh, const Defect& defect) {
        drift = 0.95 * drift + boost::random::normal_distribution<>(0, 0.1)(chance);
        if (trouble > 0) --trouble;
        else if (uniform(0, 1) < 0.02) trouble = 6, worse = uniform(0.05, 0.4);
        Window window;
        window.index = ++index;
        for (std::size_t n = 0; n < all.size(); ++n) {
            One& one = all[n];
            one.own = 0.8 * one.own + boost::random::normal_distribution<>(0, 0.006)(chance);
            const bool is_new = n < fresh, shows = is_new && fresh >= defect.from;
            const int tries = std::max(0, draw(1000, tries_ / 1000 * one.load * std::exp(drift)));
            // Customers ask for more than their quota: who refuses them lasts, and a restart draws it anew.
            if (over_quota > 0 && (one.refused < 0 || is_new != one.was_new))
                one.refused = uniform(0, over_quota);
            one.was_new = is_new;
            const double refused = std::max(0.0, one.refused);
            const double bounced =
                one.bounced + refused + one.own + (trouble > 0 ? worse : 0) + (shows ? defect.bounced : 0);
            Counts c;
            c.tries = tries;
            c.bounced = draw(tries, bounced);
            const int delivered = tries - static_cast<int>(c.bounced);
            c.late = draw(delivered, one.late + (trouble > 0 ? worse / 2 : 0));
            c.in_goal = delivered - c.late;
            const int slow = draw(delivered, 0.02 + (is_new ? defect.slow : 0));
            c.times[40] = delivered - slow, c.times[60] = slow;
            c.sent_on = delivered;
            c.executions = delivered + draw(delivered, 0.05 + (trouble > 0 ? worse : 0)) +
                           (is_new ? draw(delivered, defect.executions) : 0);
            c.over_quota = refused > 0 ? draw(tries, refused) : 0;
            // Those found over before are refused without a call.
            c.calls = tries - c.over_quota, c.units_asked = tries, c.units_in = delivered;
            c.units_counted = is_new ? draw(tries, defect.counted) : 0;
            if (is_new) one.leaked += defect.memory;
            c.memory_kb = one.memory + one.leaked + uniform(0, 300);
            window.by_gateway[n] = {c, is_new};
        }
        return window;
    }
    struct One {
        double load, bounced, late, memory, own = 0, leaked = 0, refused = -1;
        bool was_new = false;
    };
    boost::random::mt19937 chance;
    std::vector<One> all;
    double tries_, drift = 0, worse = 0;
    double over_quota = 0;  // the largest part that any gateway refuses for quota
    int trouble = 0;
    std::int64_t index = 0;
};

struct End {
    bool stopped = false, passed = false;
    int stage = 0, windows = 0;  // of that stage
    std::string why;
};

// A whole rollout over stages of 1, a quarter, a half and all; each watched for so many windows at the most.
End rollout(std::uint32_t seed, std::size_t gateways, double tries, const Defect& defect, int longest = 240,
            double over_quota = 0) {
    Play play(seed, gateways, tries);
    play.over_quota = over_quota;
    JudgeTerms terms;
    Judge judge(terms);
    for (int n = 0; n < 30; ++n) judge.past(play.window(0, {}));
    End end;
    for (const std::size_t fresh : {std::size_t{1}, (gateways + 3) / 4, (gateways + 1) / 2, gateways}) {
        std::vector<bool> which(gateways, false);
        std::fill(which.begin(), which.begin() + static_cast<std::ptrdiff_t>(fresh), true);
        judge.stage(which);
        end.passed = false;
        for (end.windows = 1; end.windows <= longest && !end.passed; ++end.windows) {
            judge.see(play.window(fresh, defect));
            if (judge.verdict() == Judgement::worse) return end.stopped = true, end.why = judge.why(), end;
            end.passed = judge.verdict() == Judgement::passes && end.windows >= 30;
        }
        if (!end.passed) return end;
        ++end.stage;
    }
    return end;
}

}  // namespace

TEST_CASE("equal programs are not stopped, whatever meets all of them") {
    int stopped = 0, done = 0;
    const char* const many = std::getenv("DEWWEIR_ROLLOUTS");  // a thousand and more, for results/
    const int plays = many ? std::atoi(many) : 30;
    for (int seed = 1; seed <= plays; ++seed) {
        const End end = rollout(static_cast<std::uint32_t>(seed), 12, 60, {});
        stopped += end.stopped, done += end.stage == 4;
    }
    if (many)
        std::cout << "equal: " << plays << " rollouts, stopped " << stopped << ", done " << done << '\n';
    CHECK(stopped <= plays / 100);  // none of thirty; the chance is 0.5% each at the most
    CHECK(done >= plays * 8 / 10);
}

TEST_CASE("equal programs are not stopped for who gets the last units of customers at their limit") {
    int stopped = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        // Three gateways, and one of them refuses nearly all for minutes while another lets most in.
        const End end = rollout(seed, 3, 60, {}, 60, 0.9);
        stopped += end.stopped;
        if (end.stopped) MESSAGE("seed " << seed << ", stage " << end.stage << ": " << end.why);
    }
    CHECK(stopped <= 1);
}

TEST_CASE("no defect gets through, and what is large is proven before half of the fleet has it") {
    struct Case {
        const char* name;
        Defect defect;
        int proven, by_half;  // of eight plays, at the least
    };
    const Case cases[] = {{"bounces 3% more", {.bounced = 0.03}, 0, 0},
                          {"bounces 10% more", {.bounced = 0.1}, 8, 8},
                          {"slower at p99 alone", {.slow = 0.04}, 2, 0},
                          {"more executions by a fifth", {.executions = 0.2}, 8, 6},
                          {"keeps a tenth of its units", {.counted = 0.1}, 8, 8},
                          {"leaks", {.memory = 400}, 8, 0}};
    const char* const many = std::getenv("DEWWEIR_ROLLOUTS");
    const int plays = many ? std::atoi(many) / 10 : 8;
    for (const Case& one : cases) {
        int stopped = 0, by_half = 0, through = 0;
        double windows = 0;
        for (int seed = 1; seed <= plays; ++seed) {
            const End end = rollout(static_cast<std::uint32_t>(seed), 12, 60, one.defect);
            stopped += end.stopped, by_half += end.stopped && end.stage < 2, windows += end.windows;
            through += end.stage == 4;
        }
        if (many || std::getenv("DEWWEIR_SHOW"))
            std::cout << one.name << ": " << plays << " rollouts, proven " << stopped
                      << ", before half of the fleet " << by_half << ", through " << through
                      << ", windows in the last stage " << windows / plays << '\n';
        const std::string name = one.name;
        CHECK_MESSAGE(stopped >= plays * one.proven / 8, name);
        CHECK_MESSAGE(by_half >= plays * one.by_half / 8, name);
        // One as bad as the harm that is to be ruled out may pass by chance; of eight none does.
        CHECK_MESSAGE(through <= plays / 20, name);
    }
}

TEST_CASE("one that does well alone and badly with half of the fleet is stopped there") {
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        const End end = rollout(seed, 12, 60, {.bounced = 0.15, .from = 6});
        CHECK((end.stopped ? end.stage == 2 : end.stage < 2));
    }
}

TEST_CASE("too little traffic is no verdict, and one who knows nothing does not pass") {
    const End thin = rollout(1, 12, 2, {}, 100);
    CHECK_FALSE(thin.stopped);
    CHECK(thin.stage == 0);
    Judge blind(JudgeTerms{});
    blind.stage({true, false, false, false});
    Play play(3, 4, 60);
    for (int n = 0; n < 50; ++n) blind.see(play.window(1, {.bounced = 0.5}));
    CHECK(blind.verdict() == Judgement::unknown);  // with no past there is nothing to compare with
}

TEST_CASE("what the fleet as a whole loses against its forecast is seen, where all are new alike") {
    Play play(5, 8, 60);
    Judge judge(JudgeTerms{});
    for (int n = 0; n < 30; ++n) judge.past(play.window(0, {}));
    judge.stage(std::vector<bool>(8, true));
    for (int n = 0; n < 60; ++n) judge.see(play.window(8, {.bounced = 0.6}));
    CHECK(judge.verdict() == Judgement::whole_worse);
    CHECK(judge.why().find("the fleet is worse than its forecast: lost") == 0);
    // It holds the stage up as long as it lasts, and no longer.
    for (int n = 0; n < 60; ++n) judge.see(play.window(8, {}));
    CHECK(judge.verdict() != Judgement::whole_worse);
}

TEST_CASE("a past that moves wildly lets no disaster pass where nothing is left to compare with") {
    Play play(9, 8, 60);
    Judge judge(JudgeTerms{});
    for (int n = 0; n < 30; ++n) judge.past(play.window(8, {.bounced = n < 6 ? 0.8 : 0.0}));
    judge.stage(std::vector<bool>(8, true));
    for (int n = 0; n < 120; ++n) {
        judge.see(play.window(8, {.bounced = 0.6}));
        REQUIRE(judge.verdict() != Judgement::passes);
    }
}

TEST_CASE("the interval holds the true difference, and narrows") {
    boost::random::mt19937 chance(7);
    boost::random::normal_distribution<> noise(0.02, 0.01);
    int missed = 0;
    double width = 0;
    for (int play = 0; play < 100; ++play) {
        std::vector<double> seen;
        for (int n = 0; n < 60; ++n) seen.push_back(noise(chance));
        const Interval where = interval_of(seen, 0.01, 0.05);
        missed += where.low > 0.02 || where.high < 0.02;
        width += (where.high - where.low) / 100;
    }
    CHECK(missed <= 5);
    CHECK(width < 0.015);
}
