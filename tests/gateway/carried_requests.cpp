// Attempt ids that a connection remembers, and the framing of a response by the request that it answers.
#include "gateway/carried_requests.h"

#include <catch2/catch.hpp>
#include <string>

using dewweir::gateway::CarriedRequests;
using Framing = CarriedRequests::Framing;

TEST_CASE("A connection remembers every id that it has carried, and is full at the limit") {
    CarriedRequests carried;
    for (std::size_t n = 0; n < CarriedRequests::limit; ++n) {
        CHECK_FALSE(carried.is_full());
        const std::string id = "id-" + std::to_string(n);
        REQUIRE_FALSE(carried.contains(id));
        carried.add(id, false);
        REQUIRE(carried.contains(id));
    }
    CHECK(carried.is_full());
    CHECK(carried.contains("id-0"));
    CHECK(carried.size() == CarriedRequests::limit);
}

TEST_CASE("Without HEAD every response is framed as stated, and with HEAD alone none has a body") {
    CarriedRequests without;
    without.add("a1", false);
    for (const char* const id : {"a1", "b7", ""}) CHECK(without.response_framing(id) == Framing::as_stated);
    CarriedRequests alone;
    alone.add("a1", true);
    for (const char* const id : {"a1", "b7", ""}) CHECK(alone.response_framing(id) == Framing::no_body);
}

TEST_CASE("With HEAD among other requests a response is framed by the request that its id names") {
    CarriedRequests carried;
    carried.add("a1", true);
    carried.add("a2", false);
    carried.add("a3", true);
    CHECK(carried.response_framing("a1") == Framing::no_body);
    CHECK(carried.response_framing("a2") == Framing::as_stated);
    CHECK(carried.response_framing("a3") == Framing::no_body);
    CHECK(carried.response_framing("b7") == Framing::unknown);
    CHECK(carried.response_framing("") == Framing::unknown);
}
