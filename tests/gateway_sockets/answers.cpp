// Which responses of a host are passed on to the client, and which never are.
#include "harness.h"

using namespace dewweir::gateway::tests;

namespace {

// Sends a mutating request, lets the host respond with `text` and returns what the client receives.
std::string client_receives(const std::string& text, bool then_close = false) {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    Peer& host = harness.await_host("hello");
    host.send(text);
    if (then_close) {
        REQUIRE(harness.run_until([&] { return host.unsent() == 0; }));
        host.close();
    }
    harness.await_client(client, "\r\n\r\n");
    // The request was sent once, whatever the response was.
    CHECK(harness.host_connections() == 1);
    CHECK(host.count("hello") == 1);
    return client.received;
}

}  // namespace

TEST_CASE("A response passes with its status, fields and body, but without hop-by-hop fields") {
    const std::string got =
        client_receives(response("201 Created", "a1", "made",
                                 "X-Kept: 1\r\nX-Hop: 2\r\nConnection: "
                                 "X-Hop, X-Server-Seal\r\nKeep-Alive: timeout=3\r\nTE: x\r\n"));
    CHECK(got.starts_with("HTTP/1.1 201 "));
    CHECK(got.ends_with("\r\n\r\nmade"));
    CHECK(got.find("X-Server-Seal: seal-a1\r\n") != std::string::npos);
    CHECK(got.find("X-Kept: 1\r\n") != std::string::npos);
    for (const char* const dropped : {"X-Hop", "Keep-Alive", "TE:"})
        CHECK(got.find(dropped) == std::string::npos);
}

TEST_CASE("An incomplete or invalid response, or one to another request, becomes 502") {
    const std::string head = response_head("200 OK", "a1");
    const std::string seal = "X-Server-Seal: s\r\n";
    CHECK(client_receives("not HTTP at all\r\n\r\n").starts_with("HTTP/1.1 502 "));
    CHECK(client_receives(head + "Content-Length: 9\r\n\r\nshort", true).starts_with("HTTP/1.1 502 "));
    CHECK(client_receives(head + "\r\nno length", true).starts_with("HTTP/1.1 502 "));
    CHECK(
        client_receives(head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
            .starts_with("HTTP/1.1 502 "));
    CHECK(client_receives(head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
              .starts_with("HTTP/1.1 502 "));
    CHECK(client_receives(response("200 OK", "a1", "ok", "Content-Encoding: gzip\r\n"))
              .starts_with("HTTP/1.1 502 "));
    CHECK(client_receives("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
              .starts_with("HTTP/1.1 502 "));
    CHECK(client_receives(response("200 OK", "b7", "other"), true).starts_with("HTTP/1.1 502 "));
    CHECK(client_receives("HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nok", true)
              .starts_with("HTTP/1.1 502 "));
}

TEST_CASE("A response to an earlier request is skipped, and one after the response is not passed on") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send("HTTP/1.1 103 Early Hints\r\n\r\n" + response("200 OK", "a0", "old") +
              response("200 OK", "a1", "mine") + response("200 OK", "a1", "twice"));
    harness.await_client(client, "mine");
    client.send(get("a2"));
    harness.await_host("a2", 1).send(response("200 OK", "a2", "next"));
    harness.await_client(client, "next");
    CHECK(client.count("HTTP/1.1 ") == 2);
    CHECK_FALSE(client.has("old"));
    CHECK_FALSE(client.has("twice"));
}

TEST_CASE("Responses without a body: to HEAD, also after interim responses, and 204") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(request_head("HEAD", "/read/x", "a1") + "\r\n");
    Peer& host = harness.await_host("HEAD /read/x");
    host.send("HTTP/1.1 102 Processing\r\n\r\n" + response_head("200 OK", "a1") +
              "Content-Length: 700\r\n\r\n");
    harness.await_client(client, "seal-a1");
    CHECK(client.has("Content-Length: 700\r\n"));
    client.send(get("a2"));
    harness.await_host("a2", 1).send(response_head("204 No Content", "a2") + "\r\n");
    harness.await_client(client, "seal-a2");
    client.send(get("a3"));
    harness.await_host("a3", 1).send(response("200 OK", "a3", "body"));
    harness.await_client(client, "body");
    CHECK(client.count("Content-Length") == 2);
    CHECK(harness.host_connections() == 2);  // the first is not reused after an interim response
}

TEST_CASE("A host's 408, 429 or 503 that does not state non-execution becomes 502 for a mutating request") {
    for (const std::string status :
         {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        INFO(status);
        CHECK(client_receives(response(status, "a1", "busy")).starts_with("HTTP/1.1 502 "));
    }
    CHECK(client_receives(response("500 Internal Server Error", "a1", "bad")).starts_with("HTTP/1.1 500 "));
}

TEST_CASE("A response sent before the complete request counts only as a refusal, and ends its connection") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    const std::string first(70000, 'x');
    client.send(request_head("POST", "/write/x", "a1") + "Content-Length: 100000\r\n\r\n" + first);
    Peer& host = harness.host(0);
    REQUIRE(harness.run_until([&] { return host.received_bytes > first.size(); }));
    SECTION("a success") {
        host.send(response("200 OK", "a1", "early"));
        harness.await_client(client, "\r\n\r\n");
        CHECK(client.received.starts_with("HTTP/1.1 502 "));
    }
    SECTION("a refusal") {
        host.send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
        harness.await_client(client, "\r\n\r\n");
        CHECK(client.received.starts_with("HTTP/1.1 503 "));
    }
    Peer& other = harness.connect();
    other.send(get("a2"));
    harness.await_host("a2", 1);
    CHECK_FALSE(host.has("a2"));
}

TEST_CASE("A connection on which the host sends while it is idle is closed") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send(response("200 OK", "a1", "one"));
    harness.await_client(client, "one");
    host.send(response("200 OK", "a1", "two"));
    REQUIRE(harness.run_until([&] { return host.ended; }));
    CHECK_FALSE(client.has("two"));
}
