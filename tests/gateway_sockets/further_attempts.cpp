// Further attempts of a request that has reached a host require retry budget.
#include "harness.h"

using namespace dewweir::gateway::tests;
using dewweir::gateway::RetryBound;

namespace {

const std::string not_executed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
// Each request adds enough budget for a further attempt.
constexpr RetryBound ample{2.0, 10.0};

}  // namespace

TEST_CASE("Without budget a request that its host turned away is refused at once with a Retry-After") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    const bool idempotent = GENERATE(true, false);
    client.send(idempotent ? get("a1") : post("a1", "hello"));
    Peer& host = harness.await_host("a1");
    host.send(not_executed);
    harness.await_client(client, "\r\n\r\n");
    CHECK(client.received.starts_with("HTTP/1.1 503 "));
    CHECK(client.has("Retry-After: "));
    harness.settle();
    CHECK(host.count("X-Attempt-Id: a1") == 1);
    CHECK(harness.host_connections() == 1);
}

TEST_CASE("With budget a request that its host turned away is attempted again") {
    GatewayHarness harness({}, ample);
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send(not_executed);
    REQUIRE(harness.run_until([&] { return host.count("X-Attempt-Id: a1") == 2; }));
    host.send(response("200 OK", "a1", "served"));
    harness.await_client(client, "served");
}
