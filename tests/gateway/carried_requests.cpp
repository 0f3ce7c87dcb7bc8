// Attempt ids that a connection remembers.
#include "gateway/carried_requests.h"

#include <catch2/catch.hpp>
#include <string>

using dewweir::gateway::CarriedRequests;

TEST_CASE("A connection remembers every id that it has carried, and is full at the limit") {
    CarriedRequests carried;
    for (std::size_t n = 0; n < CarriedRequests::limit; ++n) {
        CHECK_FALSE(carried.is_full());
        const std::string id = "id-" + std::to_string(n);
        REQUIRE_FALSE(carried.contains(id));
        carried.add(id);
        REQUIRE(carried.contains(id));
    }
    CHECK(carried.is_full());
    CHECK(carried.contains("id-0"));
    CHECK(carried.size() == CarriedRequests::limit);
}
