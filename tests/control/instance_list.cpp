// Parsing of the platform's instance pages. A page with any invalid part must be rejected as a whole:
// instances left out of a partly read page would be taken for removed hosts.
#include "control/instance_list.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace dewweir;
using namespace dewweir::control;

namespace {

std::string page_of(const std::string& entry) { return R"({"instances":{"zone-a":[)" + entry + "]}}"; }

wire::Instance read_one(const std::string& entry) {
    const auto page = parse_instance_page(page_of(entry));
    REQUIRE(page);
    REQUIRE(page->instances.size() == 1);
    return page->instances.begin()->second;
}

std::string with_capacity(const std::string& capacity) {
    return R"({"id":"i","backend":"b","address":"a","state":"ready","capacity":)" + capacity + "}";
}

}  // namespace

TEST_CASE("a page yields its instances with their zones and the token of the next page") {
    const auto page = parse_instance_page(R"({"next_token":"t 2","instances":{
        "zone-a":[{"id":"1","backend":"cart","address":"10.0.0.1:80","state":"ready","capacity":8,"cold_left":"1.5s"},
                  {"id":"2","backend":"web","address":"10.0.0.2:80","state":"draining","capacity":4}],
        "zone-b":[{"id":"3","backend":"web","address":"10.0.0.3:80","state":"ready","capacity":2,"more":{}}]}})");
    REQUIRE(page);
    CHECK(page->next_token == "t 2");
    CHECK(page->instances ==
          Instances{{"1", {"1", "cart", "10.0.0.1:80", "zone-a", 8, wire::InstanceState::ready, 1500}},
                    {"2", {"2", "web", "10.0.0.2:80", "zone-a", 4, wire::InstanceState::draining, 0}},
                    {"3", {"3", "web", "10.0.0.3:80", "zone-b", 2, wire::InstanceState::ready, 0}}});
}

TEST_CASE("an empty page is valid, and so is one without a next token") {
    for (const char* const json :
         {R"({"instances":{}})", R"({"instances":{"zone-a":[]},"next_token":null})"}) {
        const auto page = parse_instance_page(json);
        REQUIRE(page);
        CHECK(page->instances.empty());
        CHECK_FALSE(page->next_token);
    }
    CHECK(parse_instance_page(R"({"instances":{},"next_token":""})")->next_token == "");
}

TEST_CASE("an invalid page is rejected as a whole") {
    for (const char* const json :
         {"", " ", "null", "[]", "{}", R"({"instances":[]})", R"({"instances":null})",
          R"({"instances":{"z":{}}})", R"({"instances":{"z":[1]}})", R"({"instances":{"z":[)",
          R"({"instances":{}} x)"}) {
        INFO(json);
        CHECK_FALSE(parse_instance_page(json));
    }
    const std::string good = with_capacity("1");
    for (const char* const broken :
         {R"({"backend":"b","address":"a"})", R"({"id":"i","address":"a"})", R"({"id":"i","backend":"b"})",
          R"({"id":1,"backend":"b","address":"a"})", R"({"id":"i","backend":null,"address":"a"})"}) {
        CHECK_FALSE(parse_instance_page(page_of(broken)));
        CHECK_FALSE(parse_instance_page(page_of(good + "," + broken)));
    }
}

TEST_CASE("an instance without its optional fields is read as draining, with no capacity") {
    const wire::Instance bare = read_one(R"({"id":"i","backend":"b","address":"a"})");
    CHECK(bare.state == wire::InstanceState::draining);
    CHECK(bare.capacity == 0);
    CHECK(bare.cold_left_ms == 0);
    CHECK(read_one(R"({"id":"i","backend":"b","address":"a","state":"odd"})").state ==
          wire::InstanceState::draining);
    CHECK(read_one(R"({"id":"i","backend":"b","address":"a","cold_left":"soon"})").cold_left_ms == 0);
    CHECK(read_one(R"({"id":"i","backend":"b","address":"a","cold_left":5})").cold_left_ms == 0);
}

TEST_CASE("a capacity is truncated to an integer and clamped to the range of uint32") {
    CHECK(read_one(with_capacity("7.9")).capacity == 7);
    CHECK(read_one(with_capacity("-1")).capacity == 0);
    CHECK(read_one(with_capacity("-1e300")).capacity == 0);
    CHECK(read_one(with_capacity("1e300")).capacity == std::numeric_limits<std::uint32_t>::max());
    CHECK(read_one(with_capacity("4294967296")).capacity == std::numeric_limits<std::uint32_t>::max());
    CHECK(read_one(with_capacity("\"8\"")).capacity == 0);
}

TEST_CASE("a page nested millions of levels deep is rejected without overflowing the stack") {
    constexpr std::size_t depth = 2'000'000;
    CHECK_FALSE(parse_instance_page(std::string(depth, '[')));
    CHECK_FALSE(parse_instance_page(std::string(depth, '[') + std::string(depth, ']')));
}
