// A mutating request is executed at most once at whatever byte its client or its host breaks the connection,
// and no response reaches another request.
#include "harness.h"

using namespace dewweir::gateway::tests;

namespace {

const std::string request = post("a1", "hello");
const std::string response_text = response("200 OK", "a1", "made");

}  // namespace

TEST_CASE("A mutating request is not sent again when its host breaks off after any byte of the response") {
    GatewayHarness harness;
    for (std::size_t sent = 0; sent <= response_text.size(); ++sent) {
        for (const bool by_reset : {false, true}) {
            CAPTURE(sent, by_reset);
            const std::size_t connections = harness.host_connections();
            Peer& client = harness.connect();
            client.send(request);
            Peer& host = harness.await_host("hello", connections);
            if (sent > 0) host.send(response_text.substr(0, sent));
            REQUIRE(harness.run_until([&] { return host.unsent() == 0; }));
            // Wait until the complete response has arrived: a reset would discard it.
            if (sent == response_text.size()) harness.await_client(client, "\r\n\r\n");
            by_reset ? host.reset() : host.close();
            harness.await_client(client, "\r\n\r\n");
            CHECK(client.received.starts_with(sent == response_text.size() ? "HTTP/1.1 200 "
                                                                           : "HTTP/1.1 502 "));
            harness.settle();
            CHECK(harness.host_connections() == connections + 1);
            CHECK(host.count("hello") == 1);
            CHECK(client.count("HTTP/1.1 ") == 1);
            client.close();
        }
    }
}

TEST_CASE("A request received in two parts, split anywhere, is executed once; an incomplete one never") {
    GatewayHarness harness;
    for (std::size_t first = 1; first < request.size(); ++first) {
        CAPTURE(first);
        const std::size_t connections = harness.host_connections();
        Peer& cut_short = harness.connect();
        cut_short.send(request.substr(0, first));
        REQUIRE(harness.run_until([&] { return cut_short.unsent() == 0; }));
        harness.settle();
        cut_short.reset();
        harness.settle();
        CHECK(harness.host_connections() == connections);

        Peer& client = harness.connect();
        client.send(request.substr(0, first));
        harness.settle();
        client.send(request.substr(first));
        Peer& host = harness.await_host("hello", connections);
        CHECK(host.count("X-Attempt-Id: a1") == 1);
        host.send(response_text);
        harness.await_client(client, "made");
        host.close();
        client.close();
        harness.settle();
    }
}

TEST_CASE("A mutating request on an idle connection that its host has reset is sent at most once") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(post("a1", "first"));
    Peer& host = harness.await_host("first");
    host.send(response("200 OK", "a1", "made"));
    harness.await_client(client, "made");
    host.reset();
    client.send(post("a2", "second"));
    harness.settle();
    // The reset was seen before anything was written: the request is sent once on a new connection.
    if (harness.host_connections() == 2) {
        harness.await_host("second", 1).send(response("200 OK", "a2", "again"));
        harness.await_client(client, "again");
    } else {
        harness.await_client(client, "HTTP/1.1 502 ");
    }
    CHECK(harness.host_connections() <= 2);
}
