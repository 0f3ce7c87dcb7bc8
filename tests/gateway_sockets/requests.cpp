// Which parts of a client's request reach a host, and which never do.
#include "harness.h"

using namespace dewweir::gateway::tests;

TEST_CASE(
    "A request passes with its path, body and fields, but without hop-by-hop fields and the gateway's own") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello",
                     "Connection: X-Hop, X-Attempt-Id\r\nX-Hop: 1\r\nX-Kept: 2\r\nX-Tenant: other\r\n"
                     "Authorization: Bearer key\r\nX-Expect-Instance: i-9\r\nX-Time-Left-Ms: 9000\r\n"));
    Peer& host = harness.await_host("\r\n\r\nhello");
    CHECK(host.received.starts_with("POST /write/x HTTP/1.1\r\n"));
    CHECK(host.has("Host: shop.example\r\n"));
    CHECK(host.has("X-Kept: 2\r\n"));
    CHECK(host.has("X-Attempt-Id: a1\r\n"));
    CHECK(host.has("X-Expect-Instance: i-1\r\n"));
    CHECK(host.has("Content-Length: 5\r\n"));
    CHECK(host.count("X-Time-Left-Ms") == 1);
    CHECK_FALSE(host.has("X-Time-Left-Ms: 9000\r\n"));
    for (const char* const dropped : {"X-Hop", "X-Tenant", "Authorization", "i-9", "Connection"}) {
        INFO(dropped);
        CHECK_FALSE(host.has(dropped));
    }
}

TEST_CASE("A POST that states an empty body reaches the host with its length") {
    GatewayHarness harness;
    harness.connect().send(post("a1", ""));
    harness.await_host("Content-Length: 0\r\n");
}

TEST_CASE("A client that expects 100 Continue receives it") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(request_head("POST", "/write/x", "a1") + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    harness.await_client(client, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send("body");
    Peer& host = harness.await_host("\r\n\r\nbody");
    CHECK_FALSE(host.has("Expect:"));
    host.send(response("200 OK", "a1", "done"));
    harness.await_client(client, "done");
    CHECK(client.count("HTTP/1.1 ") == 2);
}

TEST_CASE("Pipelined requests are answered in order, one at a time") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1") + get("a2"));
    Peer& host = harness.await_host("X-Attempt-Id: a1");
    CHECK_FALSE(host.has("a2"));
    host.send(response("200 OK", "a1", "first"));
    harness.await_host("X-Attempt-Id: a2").send(response("200 OK", "a2", "second"));
    harness.await_client(client, "second");
    CHECK(client.received.find("first") < client.received.find("second"));
    CHECK(harness.host_connections() == 1);
}

TEST_CASE("A request beyond a limit is answered with the limit's status, and nothing reaches a host") {
    dewweir::configuration::ClientLimits limits;
    limits.max_header_bytes = 1000;
    limits.max_body_bytes = 5000;
    limits.header_timeout = std::chrono::milliseconds{50};
    GatewayHarness harness(limits);
    const auto status_of = [&](const std::string& text) {
        Peer& client = harness.connect();
        client.send(text);
        harness.await_client_close(client);
        return client.received.substr(0, 12);
    };
    CHECK(status_of(get("a1", "X-Long: " + std::string(2000, 'x') + "\r\n")) == "HTTP/1.1 431");
    CHECK(status_of(request_head("POST", "/write/x", "a2") + "Content-Length: 5001\r\n\r\n") ==
          "HTTP/1.1 413");
    CHECK(status_of(request_head("POST", "/write/x", "a3") + "Transfer-Encoding: chunked\r\n\r\n1389\r\n" +
                    std::string(5001, 'x') + "\r\n0\r\n\r\n") == "HTTP/1.1 413");
    CHECK(status_of("GET /read/x HTTP/1.1\r\nHost:") == "HTTP/1.1 408");
    CHECK(status_of("GET /read/x HTTP/1.1\nHost: shop.example\n\n") == "HTTP/1.1 400");
    CHECK(status_of(get("a4", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")) == "HTTP/1.1 400");
    CHECK(harness.host_connections() == 0);
}

TEST_CASE("An idle connection is closed after the idle time-out, also one with a stalled body") {
    dewweir::configuration::ClientLimits limits;
    limits.idle_timeout = std::chrono::milliseconds{50};
    GatewayHarness harness(limits);
    Peer& silent = harness.connect();
    Peer& halfway = harness.connect();
    halfway.send(request_head("POST", "/write/x", "a1") + "Content-Length: 10\r\n\r\nhalf");
    harness.await_client_close(silent);
    harness.await_client_close(halfway);
    CHECK(silent.received.empty());
    CHECK(harness.host_connections() == 0);
    CHECK(harness.proxy().open_requests() == 0);
}

TEST_CASE("A client that shuts down its sending side after its request still gets the response") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1"));
    client.end_sending();
    harness.await_host("a1").send(response("200 OK", "a1", "whole"));
    harness.await_client_close(client);
    CHECK(client.received.ends_with("\r\n\r\nwhole"));
    CHECK_FALSE(client.was_reset);
}

TEST_CASE("When the client disconnects, an idempotent attempt is cancelled and a mutating one continues") {
    GatewayHarness harness;
    Peer& reader = harness.connect();
    reader.send(get("a1"));
    Peer& read = harness.await_host("a1");
    Peer& writer = harness.connect();
    writer.send(post("a2", "hello"));
    Peer& write = harness.await_host("hello", 1);
    reader.reset();
    writer.reset();
    REQUIRE(harness.run_until([&] { return read.ended; }));
    CHECK_FALSE(write.ended);
    write.send(response("200 OK", "a2", "done"));
    REQUIRE(harness.run_until([&] { return harness.proxy().open_requests() == 0; }));
    CHECK_FALSE(write.ended);
}
