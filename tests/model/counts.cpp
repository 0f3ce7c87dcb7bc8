// The counts event: what is counted, how it is logged, and that each interval starts from zero.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net/counts_event.h"
#include "net/json_line.h"

using namespace dewweir;
using namespace dewweir::net;

TEST_CASE("counts are logged as typed fields with a latency histogram, and are reset afterwards") {
    CountsEvent counts(50000, {10000, 500});
    for (int n = 0; n < 3; ++n) counts.request_received(1.5);
    counts.attempt_started(true, 1.5);
    counts.attempt_started(false, 1.5);
    counts.counter_called(2), counts.counter_called(-0.5);
    counts.served(0, 10000);
    counts.served(1, 501);
    counts.refused(), counts.failed(), counts.client_disconnected();
    DecisionCounts decided{};
    decided[static_cast<std::size_t>(Decision::over_quota_locally)] = 2;
    decided[static_cast<std::size_t>(Decision::expired_in_queue)] = 4;
    counts.report_decisions(decided);
    std::ostringstream out;
    Log log(out, -1, Level::info, 100, json_line);
    counts.report(log, 17000000050000);
    const auto told = nlohmann::json::parse(out.str());
    const std::pair<const char*, int> fields[] = {
        {"tries", 3},          {"in_goal", 1},          {"late", 1},
        {"bounced", 1},        {"written_off", 1},      {"gone", 1},
        {"sent_on", 1},        {"executions", 2},       {"calls", 2},
        {"units_asked", 4500}, {"units_in", 1500},      {"over_quota", 2},
        {"long_line", 4},      {"units_counted", 1500}, {"every_ms", 5000}};
    for (const auto& [name, figure] : fields) CHECK_MESSAGE(told[name] == figure, name);
    CHECK(told["event"] == "counts");
    CHECK(told["end_ms"] == 1700000005000);
    CHECK(told["memory_kb"] > 100);
    CHECK(told["times"] == nlohmann::json({time_bucket(501), 1, time_bucket(10000), 1}));
    counts.report(log,
                  17000000100000 - 50000);  // without activity the line is still distinct and not collapsed
    counts.report(log, 17000000100000 - 40000);
    CHECK(out.str().find("log.repeated") == std::string::npos);
    CHECK(std::ranges::count(out.str(), '\n') == 3);
    out.str("");
    counts.report(log, 17000000100000);
    const auto next = nlohmann::json::parse(out.str());
    CHECK(next["tries"] == 0);
    CHECK(next["units_counted"] == 0);
    CHECK(next["times"].empty());
    CHECK(next["every_ms"] == 5000);
}

TEST_CASE("latency buckets have equal ratios from 0.1 ms on, and the last one is unbounded") {
    CHECK(time_bucket(0) == 0);
    CHECK(time_bucket(1) == 0);
    CHECK(time_bucket(2) == 4);
    CHECK(time_bucket(16) == 16);
    CHECK(time_bucket(1000000000) == time_buckets - 1);
    for (Time took = 1; took < 3000000; took += 1 + took / 50)
        CHECK(time_bucket(took) == std::floor(4 * std::log2(static_cast<double>(took))));
}
