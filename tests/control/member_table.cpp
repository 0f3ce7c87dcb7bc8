// Leases of members: renewed by reports, kept for a grace when nobody reports them.
#include "control/member_table.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::control;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point start{1h};
constexpr MemberTableOptions graces{700ms, 5000ms, 2500ms};

wire::Member member(const std::string& node, std::uint64_t life = 1) {
    wire::Member made;
    made.node = node;
    made.life = life;
    return made;
}

std::string nodes_of(const MemberTable& table) {
    std::string nodes;
    for (const wire::Member& member : table.members()) nodes += member.node + " ";
    return nodes;
}

}  // namespace

TEST_CASE("a member that is reported stays, however long") {
    MemberTable table(graces);
    table.report(start, "control-1", {member("a"), member("b")});
    table.expire(start + 24h);
    CHECK(nodes_of(table) == "a b ");
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("a member whose session ends is kept for the grace and no longer") {
    MemberTable table(graces);
    table.report(start, "control-1", {member("a"), member("b")});
    table.report(start + 1s, "control-1", {member("b")});
    CHECK(table.next_expiry() == start + 1700ms);
    table.expire(start + 1699ms);
    CHECK(nodes_of(table) == "a b ");
    table.report(start + 1699ms, "control-1", {member("b")});
    CHECK(table.next_expiry() == start + 1700ms);  // reports of others don't lengthen it
    table.expire(start + 1700ms);
    CHECK(nodes_of(table) == "b ");
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("a member that connects to another control plane within the grace stays") {
    MemberTable table(graces);
    table.report(start, "control-1", {member("a")});
    table.report(start + 1s, "control-1", {});
    table.report(start + 1500ms, "control-2", {member("a")});
    table.expire(start + 1h);
    CHECK(nodes_of(table) == "a ");
    table.report(start + 1h, "control-1", {});
    CHECK_FALSE(table.next_expiry());
}

TEST_CASE("when a control plane is lost all that it alone reported have a longer grace") {
    MemberTable table(graces);
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

TEST_CASE("a new life of a member takes the place of the old one") {
    MemberTable table(graces);
    table.report(start, "control-1", {member("a", 1)});
    table.report(start, "control-2", {member("a", 2)});
    CHECK(table.members() == std::vector{member("a", 2)});
}

TEST_CASE("a table is whole at once where all were known, else once the grace of adoption is over") {
    MemberTable table(graces);
    CHECK(table.whole(start));
    table.adopt(start, {member("a")}, true);
    CHECK(table.whole(start));
    MemberTable begun(graces);
    begun.adopt(start, {}, false);
    CHECK_FALSE(begun.whole(start + 2499ms));
    CHECK(begun.next_expiry() == start + 2500ms);
    begun.report(start + 1s, "control-1", {member("a")});
    begun.expire(start + 2499ms);
    CHECK(begun.next_expiry() == start + 2500ms);
    begun.expire(start + 2500ms);
    CHECK(begun.whole(start + 2500ms));
    CHECK_FALSE(begun.next_expiry());
    CHECK(nodes_of(begun) == "a ");
}

TEST_CASE("adopted members have their own grace, and known ones stay as they are known") {
    MemberTable table(graces);
    table.report(start, "control-1", {member("a", 2)});
    table.adopt(start, {member("a", 1), member("b"), member("c")}, true);
    CHECK(table.members().front() == member("a", 2));
    CHECK(table.next_expiry() == start + 2500ms);
    table.report(start + 2s, "control-1", {member("a", 2), member("b")});
    table.expire(start + 2500ms);
    CHECK(nodes_of(table) == "a b ");
    CHECK_FALSE(table.next_expiry());
}
