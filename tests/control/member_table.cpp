// Member leases: a reported member never expires, one that is no longer reported does after its grace period.
#include "control/member_table.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::control;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point start{1h};
constexpr MemberTableOptions options{700ms, 5000ms, 2500ms};

wire::Member member(const std::string& node, std::uint64_t incarnation = 1) {
    wire::Member made;
    made.node = node;
    made.life = incarnation;
    return made;
}

std::string nodes_of(const MemberTable& table) {
    std::string nodes;
    for (const wire::Member& member : table.members()) nodes += member.node + " ";
    return nodes;
}

}  // namespace

TEST_CASE("a reported member does not expire") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a"), member("b")});
    table.expire(start + 24h);
    CHECK(nodes_of(table) == "a b ");
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("a member whose session ends expires after exactly the reconnect grace") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a"), member("b")});
    table.report(start + 1s, "control-1", {member("b")});
    CHECK(table.next_expiry() == start + 1700ms);
    table.expire(start + 1699ms);
    CHECK(nodes_of(table) == "a b ");
    table.report(start + 1699ms, "control-1", {member("b")});
    CHECK(table.next_expiry() == start + 1700ms);  // reports of other members do not extend it
    table.expire(start + 1700ms);
    CHECK(nodes_of(table) == "b ");
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("a member that connects to another control plane within the grace period stays") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a")});
    table.report(start + 1s, "control-1", {});
    table.report(start + 1500ms, "control-2", {member("a")});
    table.expire(start + 1h);
    CHECK(nodes_of(table) == "a ");
    table.report(start + 1h, "control-1", {});
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("members reported only by a lost control plane get the longer reporter grace") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a"), member("b")});
    table.report(start, "control-2", {member("c")});
    table.reporter_lost(start + 1s, "control-1");
    table.reporter_lost(start + 1s, "unknown");
    table.report(start + 1200ms, "control-2", {member("b"), member("c")});
    CHECK(table.next_expiry() == start + 6s);
    table.expire(start + 5999ms);
    CHECK(nodes_of(table) == "a b c ");
    table.expire(start + 6s);
    CHECK(nodes_of(table) == "b c ");
}

TEST_CASE("a new incarnation of a member replaces the old one") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a", 1)});
    table.report(start, "control-2", {member("a", 2)});
    CHECK(table.members() == std::vector{member("a", 2)});
}

TEST_CASE("a table is complete at once if the inherited list was, otherwise after the inherited grace") {
    MemberTable table(options);
    CHECK(table.complete(start));
    table.inherit(start, {member("a")}, true);
    CHECK(table.complete(start));
    MemberTable incomplete(options);
    incomplete.inherit(start, {}, false);
    CHECK_FALSE(incomplete.complete(start + 2499ms));
    CHECK(incomplete.next_expiry() == start + 2500ms);
    incomplete.report(start + 1s, "control-1", {member("a")});
    incomplete.expire(start + 2499ms);
    CHECK(incomplete.next_expiry() == start + 2500ms);
    incomplete.expire(start + 2500ms);
    CHECK(incomplete.complete(start + 2500ms));
    CHECK_FALSE(incomplete.next_expiry());
    CHECK(nodes_of(incomplete) == "a ");
}

TEST_CASE("inherited members get the inherited grace and do not replace entries already known") {
    MemberTable table(options);
    table.report(start, "control-1", {member("a", 2)});
    table.inherit(start, {member("a", 1), member("b"), member("c")}, true);
    CHECK(table.members().front() == member("a", 2));
    CHECK(table.next_expiry() == start + 2500ms);
    table.report(start + 2s, "control-1", {member("a", 2), member("b")});
    table.expire(start + 2500ms);
    CHECK(nodes_of(table) == "a b ");
    CHECK_FALSE(table.next_expiry());
}
