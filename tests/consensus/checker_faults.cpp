// Tests that the checker reports each violation that it is meant to detect.
#include <catch2/catch.hpp>

#include "consensus/checker.h"

namespace dewweir::consensus::testing {
namespace {

Entry command(Index index, Term term, const std::string& payload) {
    Entry entry;
    entry.index = index;
    entry.term = term;
    entry.kind = EntryKind::command;
    entry.payload = payload;
    return entry;
}

bool saw(const Checker& checker, Property property) {
    return checker.violations().size() == 1 && checker.violations().front().property == property;
}

TEST_CASE("two leaders in one term violate election safety") {
    Checker checker;
    checker.leader_elected(2, 1);
    checker.leader_elected(2, 1);
    checker.leader_elected(3, 2);
    REQUIRE(checker.violations().empty());
    checker.leader_elected(2, 3);
    CHECK(saw(checker, Property::election_safety));
}

TEST_CASE("different entries with the same index and term violate log matching") {
    Checker checker;
    checker.entry_written(command(2, 1, "a"), 1);
    checker.entry_written(command(2, 1, "a"), 1);
    checker.entry_written(command(2, 2, "b"), 1);
    REQUIRE(checker.violations().empty());
    SECTION("different payload") { checker.entry_written(command(2, 1, "b"), 1); }
    SECTION("different preceding term") { checker.entry_written(command(2, 1, "a"), 0); }
    CHECK(saw(checker, Property::log_matching));
}

TEST_CASE("a leader without a committed entry violates leader completeness") {
    Checker checker;
    checker.entry_applied(command(2, 1, "a"), 1);
    Replica self{1, "10.0.0.1:7000"};
    PersistentState state;
    state.self = self;
    const Membership alone{{self}, {}};
    Raft raft(Options{}, state, alone, 1, TimePoint{});
    raft.tick(raft.next_deadline());
    const Ready ready = raft.take();
    raft.persisted(TimePoint{}, ready.write->sequence);
    REQUIRE(raft.role() == Role::leader);
    checker.leader_elected(raft);
    CHECK(saw(checker, Property::leader_completeness));
}

TEST_CASE("two different entries applied at one index violate state machine safety") {
    Checker checker;
    checker.entry_applied(command(2, 1, "a"), 1);
    checker.entry_applied(command(2, 1, "a"), 2);
    REQUIRE(checker.violations().empty());
    checker.entry_applied(command(2, 2, "a"), 2);
    CHECK(saw(checker, Property::state_machine_safety));
}

TEST_CASE("two acknowledged changes to one version are a violation") {
    Checker checker;
    checker.change_acknowledged(1, 10, 0);
    checker.change_acknowledged(1, 11, 0);
    REQUIRE(checker.violations().size() == 2);
    CHECK(checker.violations().front().property == Property::one_change_per_version);
}

TEST_CASE("an acknowledged change that a read does not return is reported as lost") {
    Checker checker;
    checker.change_acknowledged(1, 10, 0);
    checker.read_answered(1, 10, 1);
    REQUIRE(checker.violations().empty());
    checker.read_answered(1, 12, 1);
    CHECK(saw(checker, Property::no_lost_change));
}

TEST_CASE("a read that returns an older version than known at its start is stale") {
    Checker checker;
    checker.change_acknowledged(1, 10, 0);
    checker.change_acknowledged(2, 11, 1);
    checker.read_answered(1, 10, 1);
    REQUIRE(checker.violations().empty());
    checker.read_answered(1, 10, 2);
    CHECK(saw(checker, Property::no_stale_read));
}

}  // namespace
}  // namespace dewweir::consensus::testing
