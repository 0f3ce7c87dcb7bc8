// Random schedules of quotas over all gateways. DEWWEIR_SCHEDULES sets how many are played (300 by default);
// DEWWEIR_SCHEDULES_TABLE names a file for the table of their results.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "quota/schedule_table.h"

namespace dewweir::quota::testing {
namespace {

// Fraction of the requests of tenants that stay well inside their quotas.
constexpr double most_wrongly_refused = 0.002;

std::uint64_t wanted_schedules() {
    const char* text = std::getenv("DEWWEIR_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : 300;
}

// Kinds whose derived bound is that of the rules: the holder answers, and no gateway is cut off from it.
bool keeps_the_rule(Kind kind) { return kind == Kind::calm || kind == Kind::gateway_restart; }

bool any_schedule_violates(InjectedDefect defect) {
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        const ScheduleResult result = play(draw_plan(seed), seed, defect);
        for (std::size_t tenant = 0; tenant < result.tenants.size(); ++tenant) {
            if (measure(result, tenant).of_derived > 1) return true;
        }
    }
    return false;
}

TEST_CASE("no schedule admits more than its bound in any span of the rules") {
    ScheduleTable table;
    for (std::uint64_t seed = 0; seed < wanted_schedules(); ++seed) {
        const ScheduleResult result = play(draw_plan(seed), seed);
        for (std::size_t tenant = 0; tenant < result.tenants.size(); ++tenant) {
            INFO("seed " << seed << ", " << name_of(result.plan.kind) << ", tenant " << tenant);
            const Measured measured = measure(result, tenant);
            CHECK(measured.of_derived <= 1);
            if (keeps_the_rule(result.plan.kind)) CHECK(measured.of_rule <= 1);
        }
        table.add(result);
    }
    const char* path = std::getenv("DEWWEIR_SCHEDULES_TABLE");
    if (!path) return;
    const std::string schedules = std::to_string(wanted_schedules());
    table.write(path, "DEWWEIR_SCHEDULES=" + schedules + " quota_tests 'no schedule*'", wanted_schedules());
}

TEST_CASE("requests admitted while a breaker is open are stated: these seeds once broke the rule") {
    for (const std::uint64_t seed : {157, 2140, 5738, 7009, 8893}) {
        const ScheduleResult result = play(draw_plan(seed), seed);
        for (std::size_t tenant = 0; tenant < result.tenants.size(); ++tenant) {
            INFO("seed " << seed << ", tenant " << tenant);
            CHECK(measure(result, tenant).of_rule <= 1);
        }
    }
}

TEST_CASE("a tenant well inside its quota is almost never refused") {
    std::size_t asked = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 0; seed < wanted_schedules(); ++seed) {
        const ScheduleResult result = play(draw_plan(seed, true), seed);
        for (const TenantResult& tenant : result.tenants) {
            asked += tenant.asked;
            refused += tenant.refused;
        }
    }
    INFO(refused << " of " << asked << " refused");
    CHECK(static_cast<double>(refused) <= most_wrongly_refused * static_cast<double>(asked));
}

TEST_CASE("a schedule is reproducible") {
    const ScheduleResult once = play(draw_plan(5), 5);
    const ScheduleResult again = play(draw_plan(5), 5);
    REQUIRE(once.tenants.size() == again.tenants.size());
    CHECK(once.tenants[0].admitted == again.tenants[0].admitted);
    CHECK_FALSE(once.tenants[0].admitted.empty());
}

TEST_CASE("the check detects local buckets of the complete quota") {
    CHECK(any_schedule_violates(InjectedDefect::whole_bucket));
}

TEST_CASE("the check detects a holder that counts nothing") {
    CHECK(any_schedule_violates(InjectedDefect::never_counted));
}

}  // namespace
}  // namespace dewweir::quota::testing
