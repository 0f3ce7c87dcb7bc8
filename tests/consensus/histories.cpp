// Random histories of a whole group. DEWWEIR_HISTORIES sets how many (300 unless told otherwise), from the
// seed DEWWEIR_FIRST_SEED (0) on; DEWWEIR_HISTORIES_TABLE names a file for their table.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "consensus/history_table.h"

namespace dewweir::consensus::testing {
namespace {

constexpr std::uint64_t usual_histories = 300;

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise) {
    const char* const text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

std::uint64_t wanted_histories() { return number_from_environment("DEWWEIR_HISTORIES", usual_histories); }
std::uint64_t first_seed() { return number_from_environment("DEWWEIR_FIRST_SEED", 0); }

bool some_history_violates(Sabotage sabotage, std::uint64_t most) {
    for (std::uint64_t seed = 0; seed < most; ++seed) {
        if (!run_history(seed, sabotage).violations.empty()) return true;
    }
    return false;
}

TEST_CASE("no history breaks a property, and each recovers") {
    HistoryTable table;
    std::size_t changes = 0;
    std::size_t reads = 0;
    const std::uint64_t end = first_seed() + wanted_histories();
    for (std::uint64_t seed = first_seed(); seed < end; ++seed) {
        const HistoryResult result = run_history(seed);
        INFO("seed " << seed << ", machines " << result.machines);
        for (const Violation& violation : result.violations) FAIL_CHECK(violation.text);
        CHECK(result.recovered);
        table.add(result);
        changes += result.changes;
        reads += result.reads;
    }
    CHECK(changes > 10 * wanted_histories());
    CHECK(reads > 10 * wanted_histories());
    const char* path = std::getenv("DEWWEIR_HISTORIES_TABLE");
    if (!path) return;
    const std::string command = "DEWWEIR_FIRST_SEED=" + std::to_string(first_seed()) +
                                " DEWWEIR_HISTORIES=" + std::to_string(wanted_histories()) +
                                " consensus_tests 'no history*'";
    table.write(path, command);
}

TEST_CASE("the checker sees an owner that keeps the old id after a lost disk") {
    CHECK(some_history_violates(Sabotage::old_id_after_wipe, 200));
}

TEST_CASE("the checker sees an owner that reports writes before they are synced") {
    CHECK(some_history_violates(Sabotage::persisted_before_sync, 200));
}

TEST_CASE("the checker sees a leader that answers reads without its quorum") {
    CHECK(some_history_violates(Sabotage::read_without_quorum, 200));
}

TEST_CASE("the checker sees a control plane that shows its state because it hears a leader") {
    CHECK(some_history_violates(Sabotage::serve_while_leader_is_heard, 200));
}

}  // namespace
}  // namespace dewweir::consensus::testing
