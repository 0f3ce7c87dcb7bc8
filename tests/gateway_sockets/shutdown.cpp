// Shutdown of a gateway: every request that was read is answered, with a status that fits its progress.
#include "harness.h"

using namespace dewweir::gateway::tests;

TEST_CASE("At the end a request that has reached a host is answered 504: it may have been executed") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    harness.await_host("\r\n\r\nhello");
    harness.proxy().drain(harness.loop().now());
    harness.proxy().finish_open_requests();
    harness.await_client_close(client);
    CHECK(client.received.starts_with("HTTP/1.1 504 "));
}

TEST_CASE("At the end a request that has reached no host is answered 503: it will never be executed") {
    GatewayHarness harness;
    harness.drain_host();
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    REQUIRE(harness.run_until([&] { return harness.proxy().open_requests() == 1; }));
    harness.proxy().drain(harness.loop().now());
    harness.proxy().finish_open_requests();
    harness.await_client_close(client);
    CHECK(client.received.starts_with("HTTP/1.1 503 "));
    harness.restore_host();
    harness.settle();
    CHECK(harness.host_connections() == 0);
}

TEST_CASE("During a shutdown hosts are given no more time than the gateway has") {
    GatewayHarness harness;
    harness.proxy().drain(harness.loop().now() + 2 * dewweir::runtime::tenths_per_second);
    harness.connect().send(post("a1", "hello", "X-Time-Left-Ms: 9000\r\n"));
    Peer& host = harness.await_host("\r\n\r\nhello");
    CHECK(host.has("X-Time-Left-Ms: 1"));
    CHECK_FALSE(host.has("X-Time-Left-Ms: 9000"));
}

TEST_CASE("Idle client connections are closed, and a request that arrives meanwhile is refused") {
    GatewayHarness harness;
    Peer& idle = harness.connect();
    Peer& used = harness.connect();
    Peer& busy = harness.connect();
    busy.send(get("a0"));
    Peer& host = harness.await_host("X-Attempt-Id: a0");
    used.send("POST /write/x HTTP/1.1\r\n");
    REQUIRE(harness.run_until([&] { return harness.proxy().front_end().connections() == 3; }));
    harness.settle();
    harness.proxy().drain(harness.loop().now() + 2 * dewweir::runtime::tenths_per_second);
    harness.proxy().stop_accepting();
    harness.await_client_close(idle);
    CHECK(idle.received.empty());
    used.send("Host: shop.example\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
    harness.await_client_close(used);
    CHECK(used.received.starts_with("HTTP/1.1 503 "));
    host.send(response("200 OK", "a0", "done"));
    harness.await_client_close(busy);
    CHECK(busy.has("done"));
    CHECK_FALSE(host.has("a1"));
}
