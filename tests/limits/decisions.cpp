// What moves of parts, as the decisions have it: who lacks says so, who spares has less, what is lent is let
// in by.
#include "dewweir/decisions.h"

#include <doctest/doctest.h>

#include "../scenario_stage.h"
#include "limits/moved.h"

using namespace dewweir;

namespace {

struct Parts : Stage {
    std::vector<std::pair<QuotaShare, double>> lacking;
    void report_shortage(const QuotaShare& of, double units) override { lacking.emplace_back(of, units); }
};

// Three gateways, 12 units a quota and three hosts; the counter never answers.
struct Silent {
    Parts stage;
    Decisions decisions;
    std::uint32_t next = 0;

    Silent() : decisions(stage, settings(), 1, stage.now) {
        decisions.list_begins(stage.now, true);
        for (std::uint32_t host = 1; host <= 3; ++host)
            decisions.host_listed(stage.now, host, HostState::ready, 0, 0, 0);
        decisions.list_ends(stage.now);
        // The breaker opens by another tenant's calls.
        for (int n = 0; n < 3; ++n) submit(99);
    }
    static Settings settings() {
        return {{"step", "1"},
                {"gateways", "3"},
                {"zone", "0"},
                {"discovery", "push"},
                {"limits.executions", "3"},
                {"limits.cancel", "true"},
                {"limits.advice", "true"},
                {"limits.longest_advice", "1000"},
                {"service.counter", "true"},
                {"service.count_limit", "50"},
                {"service.largest", "1"},
                {"rules.fall", "2000"},
                {"rules.fall_multiple", "3"},
                {"rules.cold_from", "0.2"},
                {"rules.warm_after", "15000"},
                {"rules.ask_within", "10000"},
                {"tracks.count", "1"},
                {"tracks.0.latency_goal", "1000"},
                {"tracks.0.time_limit", "4000"},
                {"tracks.0.remembered", "5000"},
                {"tracks.0.repeats", "retriable"},
                {"tracks.0.scope", "all"},
                {"tracks.0.late_value", "0.2"},
                {"plans.count", "1"},
                {"plans.0.rate", "6"},
                {"plans.0.burst", "12"},
                {"plans.0.extra_benefit", "0"},
                {"plans.0.overrun_cost", "0.5"}};
    }
    // Whether it is let in. A call that is out is told as failed at once.
    bool submit(std::uint64_t tenant) {
        const std::uint32_t id = ++next;
        stage.seen.clear();
        decisions.request_received(stage.now, id, 0, 0, tenant, 1, 3, 40000);
        while (!stage.asked.empty()) {
            const auto [name, amount] = stage.asked.back();
            stage.asked.pop_back();
            decisions.counter_replied(stage.now, name, AttemptOutcome::timeout, 0, 500);
        }
        bool in = false;
        for (const std::string& one : stage.seen) in |= one.rfind("execute", 0) == 0;
        if (in)
            decisions.attempt_ended(stage.now, id, 1, static_cast<std::uint32_t>(stage.on.at(id)),
                                    AttemptOutcome::ok, 10, true, 0);
        return in;
    }
    int let_in(std::uint64_t tenant, int tries) {
        int in = 0;
        for (int n = 0; n < tries; ++n) in += submit(tenant);
        return in;
    }
};

}  // namespace

TEST_CASE("a used part says what it lacks; what is lent is let in by, once, and is over in time") {
    Silent gateway;
    CHECK(gateway.let_in(7, 8) == 4);  // a third of twelve
    REQUIRE(gateway.stage.lacking.size() == 4);
    const QuotaShare of = gateway.stage.lacking[0].first;
    CHECK(of == QuotaShare{7, 0, 3, 0.0006, 12});
    gateway.decisions.receive_loan(gateway.stage.now, 7, 3,
                                   limits::LoanBalance::expiry_of(gateway.stage.now));
    CHECK(gateway.let_in(7, 8) == 3);
    gateway.decisions.receive_loan(gateway.stage.now, 7, 3, gateway.stage.now - 1);
    gateway.decisions.receive_loan(gateway.stage.now, 1234, 3,
                                   limits::LoanBalance::expiry_of(gateway.stage.now));  // of nobody known
    CHECK(gateway.let_in(7, 8) == 0);
}

TEST_CASE(
    "what a part spares has left it and its room, until it is over; another plan or division spares "
    "nothing") {
    Silent gateway;
    const Time now = gateway.stage.now;
    for (const QuotaShare& other :
         {QuotaShare{7, 1, 3, 0.0006, 12}, QuotaShare{7, -1, 3, 0.0006, 12}, QuotaShare{7, 0, 2, 0.0006, 12},
          QuotaShare{7, 0, 3, 0.0007, 12}, QuotaShare{7, 0, 3, 0.0006, 13}})
        CHECK(gateway.decisions.lend_tokens(now, other, 9) == 0);
    const QuotaShare of{7, 0, 3, 0.0006, 12};
    CHECK(gateway.decisions.lend_tokens(now, of, 0.5) == 0.5);
    CHECK(gateway.decisions.lend_tokens(now, of, 9) == 1.75);  // half of what is left
    // A second and a half would fill the part; what is out is no room to fill.
    gateway.stage.now += 15000;
    CHECK(gateway.let_in(7, 8) == 1);
    gateway.stage.now += 600000;
    CHECK(gateway.let_in(7, 8) == 4);
}
