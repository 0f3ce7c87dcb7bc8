// Host list reports: draining and restarted hosts, only from lists of later revisions than the own one.
#include "verdicts/list_words.h"

#include <doctest/doctest.h>

using namespace dewweir;
using namespace dewweir::verdicts;

namespace {

constexpr Time time_to_live = 100000;
using Hosts = std::vector<ListedHost>;

void pass(Time now, HostListReports& from, HostListReports& to, bool fresh = true) {
    for (const members::GossipItem& word : from.take_outgoing()) CHECK(to.receive(now, word) == fresh);
}

}  // namespace

TEST_CASE(
    "a drain in one list reaches a gateway with an older list, and ends with its own list or by expiry") {
    HostListReports early(time_to_live), late(time_to_live);
    for (HostListReports* const one : {&early, &late})
        one->update_own_list(0, 5, true, {{"h"}, {"i"}, {"j"}});
    CHECK(early.take_outgoing().empty());  // the initial list is not published
    early.update_own_list(100, 6, false, {{"h", false}});
    pass(110, early, late);
    CHECK(late.take_changed(110) == std::vector<std::string>{"h"});
    CHECK(late.report_of(110, "h").draining);
    CHECK(late.report_of(110, "h").expires_at == 100 + time_to_live);
    CHECK_FALSE(late.report_of(110, "i").draining);
    SUBCASE("its own list") {
        late.update_own_list(200, 6, false, {{"h", false}});
        CHECK(late.take_changed(200) == std::vector<std::string>{"h"});
        CHECK(late.report_of(200, "h").expires_at == 0);
        CHECK(late.take_outgoing().empty());  // received as an item, which is passed on already
    }
    SUBCASE("a later word: it is ready again, as a new process") {
        early.update_own_list(300, 7, false, {{"h", true, 290}});
        pass(310, early, late);
        CHECK_FALSE(late.report_of(310, "h").draining);
        CHECK(late.report_of(310, "h").up_since == 290);
    }
    SUBCASE("its time_to_live") {
        CHECK(late.report_of(100 + time_to_live, "h").expires_at == 0);
        CHECK(late.take_changed(100 + time_to_live) == std::vector<std::string>{"h"});
        CHECK(late.live_items(100 + time_to_live).empty());
    }
    SUBCASE("a whole list leaves one out") {
        early.update_own_list(300, 8, true, {{"h", false}, {"i"}});
        const auto told = early.take_outgoing();
        REQUIRE(told.size() == 1);
        CHECK(late.receive(310, told[0]));
        CHECK(late.report_of(310, "j").draining);
    }
}

TEST_CASE("an item that is not newer than the own list, truncated, expired or too long-lived has no effect") {
    HostListReports other(time_to_live), ours(time_to_live);
    other.update_own_list(0, 5, true, {{"h"}});
    ours.update_own_list(0, 6, true, {{"h"}});
    other.update_own_list(10, 6, false, {{"h", false}});
    const members::GossipItem word = other.take_outgoing().at(0);
    CHECK_FALSE(ours.receive(20, word));
    members::GossipItem later = word;
    later.sequence = 9;
    members::GossipItem torn = later, foreign = later, lasting = later;
    torn.payload.pop_back();
    foreign.key = "list/i";
    lasting.time_to_live = 3 * time_to_live;
    for (const members::GossipItem& one : {torn, foreign, lasting}) CHECK_FALSE(ours.receive(20, one));
    CHECK_FALSE(ours.receive(later.created_at + time_to_live, later));
    CHECK(ours.receive(20, later));
    CHECK_FALSE(ours.receive(30, later));  // already received
    CHECK(ours.report_of(30, "h").draining);
    // A later list that has a host ready does not override our own list, where it drains.
    ours.update_own_list(40, 10, false, {{"h", false}});
    later.sequence = 12;
    other.update_own_list(50, 12, false, {{"h", true, 0}});
    CHECK(other.take_outgoing().empty());
}
