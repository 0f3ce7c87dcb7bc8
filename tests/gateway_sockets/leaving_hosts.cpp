// A host starts draining while a request for it waits for its connection: the host was chosen by a list that
// is outdated by the time the first byte can be written.
#include "harness.h"

using namespace dewweir::gateway::tests;

namespace {

constexpr dewweir::runtime::Time no_expiry = std::numeric_limits<dewweir::runtime::Time>::max();

// Runs until the client's request waits for a connection to the host.
void run_until_connecting(GatewayHarness& harness) {
    harness.step_until([&] { return harness.proxy().connecting() == 1; });
}

void check_nothing_reaches_host(GatewayHarness& harness) {
    harness.settle();
    REQUIRE(harness.proxy().connecting() == 0);
    if (harness.host_connections() > 0) CHECK(harness.host().received.empty());
}

}  // namespace

TEST_CASE("A request that waits for its connection is not sent to a host that has started draining") {
    GatewayHarness harness;
    harness.connect().send(get("a1"));
    run_until_connecting(harness);
    harness.drain_host();
    check_nothing_reaches_host(harness);
}

TEST_CASE("A request that waits for its connection is not sent to a host whose zone has been evacuated") {
    GatewayHarness harness;
    harness.connect().send(get("a1"));
    run_until_connecting(harness);
    harness.evacuate_zone();
    check_nothing_reaches_host(harness);
}

TEST_CASE("A withdrawn request is sent once, when a host is available again") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    run_until_connecting(harness);
    harness.drain_host();
    check_nothing_reaches_host(harness);
    harness.restore_host();
    const std::size_t last = harness.host_connections();
    Peer& host = harness.await_host("\r\n\r\nhello", last);
    host.send(response("200 OK", "a1", "done"));
    harness.await_client(client, "done");
    CHECK(host.count("X-Attempt-Id") == 1);
}

TEST_CASE("While the lease on the list has expired nothing is sent, and clients get a Retry-After") {
    GatewayHarness harness;
    Peer& waiting = harness.connect();
    waiting.send(post("a1", "hello"));
    run_until_connecting(harness);
    harness.proxy().set_list_valid_until(0);
    check_nothing_reaches_host(harness);
    harness.await_client(waiting, "HTTP/1.1 503 ");
    Peer& client = harness.connect();
    client.send(post("a2", "hello"));
    harness.await_client(client, "HTTP/1.1 503 ");
    CHECK(client.has("Retry-After: "));
    harness.proxy().set_list_valid_until(no_expiry);
    client.send(post("a3", "hello"));
    harness.run_until([&] { return harness.host_connections() > 1; });
    const std::size_t last = harness.host_connections() - 1;
    harness.await_host("X-Attempt-Id: a3", last).send(response("200 OK", "a3", "done"));
    harness.await_client(client, "done");
}

TEST_CASE("A request whose connection is established after the end of the lease is not written") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    run_until_connecting(harness);
    harness.expire_list_lease();
    check_nothing_reaches_host(harness);
    harness.await_client(client, "HTTP/1.1 503 ");
}

TEST_CASE("A request that has reached a host is completed there after the host starts draining") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    Peer& host = harness.await_host("\r\n\r\nhello");
    harness.drain_host();
    host.send(response("200 OK", "a1", "done"));
    harness.await_client(client, "done");
}
