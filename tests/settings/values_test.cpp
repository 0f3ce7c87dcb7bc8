// Parsing and formatting of endpoints and times.
#include <catch2/catch.hpp>
#include <unordered_set>

#include "settings/duration.h"
#include "settings/endpoint.h"

namespace dewweir::settings {
namespace {

using std::chrono::milliseconds;

TEST_CASE("an endpoint is parsed and formatted symmetrically") {
    const auto endpoint = parse_endpoint("10.1.0.22:8389");
    REQUIRE(endpoint);
    CHECK(endpoint->ip == 0x0a010016);
    CHECK(endpoint->port == 8389);
    CHECK(to_string(*endpoint) == "10.1.0.22:8389");
    CHECK(to_string(*parse_endpoint("255.255.255.255:65535")) == "255.255.255.255:65535");
}

TEST_CASE("a text that is not an endpoint is rejected") {
    const auto text = GENERATE("", ":", "10.1.0.22", "10.1.0.22:", "10.1.0.22:0", "10.1.0.22:65536",
                               "10.1.0:80", "10.1.0.22.1:80", "10.1..22:80", "10.1.0.256:80", "10.1.0.-1:80",
                               "10.1.0.0022:80", "host:80", "10.1.0.22:80 ", "10.1.0.22:80:80");
    CHECK_FALSE(parse_endpoint(text));
}

TEST_CASE("endpoints are ordered by address, then port, and can be hashed") {
    const Endpoint low{1, 9};
    const Endpoint high{2, 1};
    CHECK(low < high);
    CHECK(Endpoint{1, 8} < low);
    CHECK(std::unordered_set<Endpoint>{low, high, low}.size() == 2);
}

TEST_CASE("times are numbers with a unit") {
    CHECK(parse_duration("1500ms").value == milliseconds{1500});
    CHECK(parse_duration("2.5s").value == milliseconds{2500});
    CHECK(parse_duration("0ms").value == milliseconds{0});
    CHECK(parse_duration("2500.0ms").value == milliseconds{2500});
    CHECK(parse_duration("1.001s").value == milliseconds{1001});
    CHECK(parse_duration("600000.5ms").value == milliseconds{600001});
    CHECK_FALSE(parse_duration("2.5s").error);
}

TEST_CASE("a text that is not a time is rejected") {
    const auto text = GENERATE("", "5", "ms", "5m", "5 ms", " 5ms", "5ms ", "5S", "five s", "0x5s", "+5s",
                               "nanms", "1e999s");
    CHECK(parse_duration(text).error == DurationError::malformed);
    CHECK(parse_duration("-1ms").error == DurationError::negative);
    CHECK(parse_duration("9000h").error == DurationError::malformed);
    CHECK(parse_duration("1e30s").error == DurationError::too_long);
    CHECK(parse_duration("infs").error == DurationError::too_long);
}

}  // namespace
}  // namespace dewweir::settings
