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

TEST_CASE("With budget a request that its host turned away is attempted again, on another connection") {
    GatewayHarness harness({}, ample);
    Peer& client = harness.connect();
    client.send(get("a1"));
    harness.await_host("a1").send(not_executed);
    Peer& second = harness.await_host("X-Attempt-Id: a1", 1);
    second.send(response("200 OK", "a1", "served"));
    harness.await_client(client, "served");
    CHECK(harness.host(0).count("X-Attempt-Id: a1") == 1);
    CHECK(second.count("X-Attempt-Id: a1") == 1);
}

TEST_CASE("A copy of a refusal is not taken for the response to the next attempt, whenever it arrives") {
    GatewayHarness harness({}, ample);
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    Peer& first = harness.await_host("hello");
    const bool before_next_attempt = GENERATE(true, false);
    first.send(before_next_attempt ? not_executed + not_executed : not_executed);
    Peer& second = harness.await_host("hello", 1);
    if (!before_next_attempt) first.send(not_executed);
    harness.settle();
    second.send(response("200 OK", "a1", "served"));
    harness.await_client(client, "served");
    CHECK(client.received.starts_with("HTTP/1.1 200 "));
    CHECK(first.count("hello") + second.count("hello") == 2);
}

TEST_CASE(
    "A refusal without an id counts on a new connection, and not where an earlier request may have it") {
    GatewayHarness harness({}, ample);
    const std::string without_id =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    harness.await_host("hello").send(without_id);
    Peer& second = harness.await_host("hello", 1);
    second.send(response("200 OK", "a1", "served"));
    harness.await_client(client, "served");
    Peer& next = harness.connect();
    next.send(post("a2", "again"));
    Peer& used = harness.await_host("again", 1);
    used.send(without_id);
    used.send(response("200 OK", "a2", "served"));
    harness.await_client(next, "served");
    CHECK(next.received.starts_with("HTTP/1.1 200 "));
}

// Guards against a request that runs on more hosts than its route allows, because another route of the same
// service allows more (BUDGET).
TEST_CASE("A route's max_tries holds beside a route to the same service that allows more") {
    GatewayHarness harness({}, ample);
    Peer& client = harness.connect();
    SECTION("the host breaks off") {
        client.send(request_head("GET", "/once/x", "a1") + "\r\n");
        harness.await_host("a1").close();
    }
    SECTION("the host turns the request away") {
        client.send(request_head("GET", "/once/x", "a1") + "\r\n");
        harness.await_host("a1").send(not_executed);
    }
    harness.await_client(client, "HTTP/1.1 50");
    harness.settle();
    CHECK(harness.host_connections() == 1);
    CHECK(harness.host(0).count("X-Attempt-Id: a1") == 1);
}
