// Lending of quota shares by the decisions: a gateway without tokens reports a shortage, a lender has fewer
// tokens, a borrower admits requests by the loan.
#include "dewweir/decisions.h"

#include <doctest/doctest.h>

#include "../scenario_stage.h"
#include "limits/moved.h"

using namespace dewweir;

namespace {

struct LendingStage : Stage {
    std::vector<std::pair<QuotaShare, double>> shortages;
    void report_shortage(const QuotaShare& of, double units) override { shortages.emplace_back(of, units); }
};

// Three gateways share a quota with a burst of 12 units; three hosts; the counter never answers.
struct WithoutCounter {
    LendingStage stage;
    Decisions decisions;
    std::uint32_t next = 0;

    WithoutCounter() : decisions(stage, settings(), 1, stage.now) {
        decisions.list_begins(stage.now, true);
        for (std::uint32_t host = 1; host <= 3; ++host)
            decisions.host_listed(stage.now, host, HostState::ready, 0, 0, 0);
        decisions.list_ends(stage.now);
        // Opens the breaker by the calls of another tenant.
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
    // Whether the request is admitted. Calls to the counter time out at once.
    bool submit(std::uint64_t tenant) {
        const std::uint32_t id = ++next;
        stage.seen.clear();
        decisions.request_received(stage.now, id, 0, 0, tenant, 1, 3, 40000);
        while (!stage.asked.empty()) {
            const auto [name, amount] = stage.asked.back();
            stage.asked.pop_back();
            decisions.counter_replied(stage.now, name, AttemptOutcome::timeout, 0, 500);
        }
        bool sent = false;
        for (const std::string& one : stage.seen) sent |= one.rfind("execute", 0) == 0;
        if (sent)
            decisions.attempt_ended(stage.now, id, 1, static_cast<std::uint32_t>(stage.on.at(id)),
                                    AttemptOutcome::ok, 10, true, 0);
        return sent;
    }
    int admitted(std::uint64_t tenant, int requests) {
        int in = 0;
        for (int n = 0; n < requests; ++n) in += submit(tenant);
        return in;
    }
};

}  // namespace

TEST_CASE("an empty share reports the shortage; a loan admits requests once, and expires") {
    WithoutCounter gateway;
    CHECK(gateway.admitted(7, 8) == 4);  // a third of twelve
    REQUIRE(gateway.stage.shortages.size() == 4);
    const QuotaShare of = gateway.stage.shortages[0].first;
    CHECK(of == QuotaShare{7, 0, 3, 0.0006, 12});
    gateway.decisions.receive_loan(gateway.stage.now, 7, 3,
                                   limits::LoanBalance::expiry_of(gateway.stage.now));
    CHECK(gateway.admitted(7, 8) == 3);
    gateway.decisions.receive_loan(gateway.stage.now, 7, 3, gateway.stage.now - 1);
    gateway.decisions.receive_loan(gateway.stage.now, 1234, 3,
                                   limits::LoanBalance::expiry_of(gateway.stage.now));  // an unknown tenant
    CHECK(gateway.admitted(7, 8) == 0);
}

TEST_CASE(
    "lent units leave the share and its capacity until they expire; for another plan or number of gateways "
    "nothing is lent") {
    WithoutCounter gateway;
    const Time now = gateway.stage.now;
    for (const QuotaShare& other :
         {QuotaShare{7, 1, 3, 0.0006, 12}, QuotaShare{7, -1, 3, 0.0006, 12}, QuotaShare{7, 0, 2, 0.0006, 12},
          QuotaShare{7, 0, 3, 0.0007, 12}, QuotaShare{7, 0, 3, 0.0006, 13}})
        CHECK(gateway.decisions.lend_tokens(now, other, 9) == 0);
    const QuotaShare of{7, 0, 3, 0.0006, 12};
    CHECK(gateway.decisions.lend_tokens(now, of, 0.5) == 0.5);
    CHECK(gateway.decisions.lend_tokens(now, of, 9) == 1.75);  // half of the rest
    // 1.5 s would refill the share, but its capacity is lower by the units lent.
    gateway.stage.now += 15000;
    CHECK(gateway.admitted(7, 8) == 1);
    gateway.stage.now += 600000;
    CHECK(gateway.admitted(7, 8) == 4);
}
