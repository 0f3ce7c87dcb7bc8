// Random histories of a complete group. DEWWEIR_HISTORIES sets their number (default 300), DEWWEIR_FIRST_SEED
// the first seed (default 0); DEWWEIR_HISTORIES_TABLE names a file for the results.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "consensus/history_table.h"

namespace dewweir::consensus::testing {
namespace {

constexpr std::uint64_t default_histories = 300;

std::uint64_t environment_number(const char* name, std::uint64_t default_value) {
    const char* const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : default_value;
}

std::uint64_t history_count() { return environment_number("DEWWEIR_HISTORIES", default_histories); }
std::uint64_t first_seed() { return environment_number("DEWWEIR_FIRST_SEED", 0); }

bool any_history_violates(InjectedDefect defect, std::uint64_t most) {
    for (std::uint64_t seed = 0; seed < most; ++seed) {
        if (!run_history(seed, defect).violations.empty()) return true;
    }
    return false;
}

TEST_CASE("no history violates a property, and each recovers") {
    HistoryTable table;
    std::size_t changes = 0;
    std::size_t reads = 0;
    const std::uint64_t end = first_seed() + history_count();
    for (std::uint64_t seed = first_seed(); seed < end; ++seed) {
        const HistoryResult result = run_history(seed);
        INFO("seed " << seed << ", machines " << result.machines);
        for (const Violation& violation : result.violations) FAIL_CHECK(violation.text);
        CHECK(result.recovered);
        table.add(result);
        changes += result.changes;
        reads += result.reads;
    }
    CHECK(changes > 10 * history_count());
    CHECK(reads > 10 * history_count());
    const char* path = std::getenv("DEWWEIR_HISTORIES_TABLE");
    if (!path) return;
    const std::string command = "DEWWEIR_FIRST_SEED=" + std::to_string(first_seed()) +
                                " DEWWEIR_HISTORIES=" + std::to_string(history_count()) +
                                " consensus_tests 'no history*'";
    table.write(path, command);
}

TEST_CASE("the checker detects an owner that reuses the id after losing the disk") {
    CHECK(any_history_violates(InjectedDefect::reuse_id_after_disk_loss, 200));
}

TEST_CASE("the checker detects an owner that reports writes before they are synced") {
    CHECK(any_history_violates(InjectedDefect::persisted_before_sync, 200));
}

TEST_CASE("the checker detects a leader that answers reads without a quorum") {
    CHECK(any_history_violates(InjectedDefect::read_without_quorum, 200));
}

TEST_CASE("the checker detects a replica that serves its state unconfirmed because it knows a leader") {
    CHECK(any_history_violates(InjectedDefect::serve_unconfirmed_state, 200));
}

}  // namespace
}  // namespace dewweir::consensus::testing
