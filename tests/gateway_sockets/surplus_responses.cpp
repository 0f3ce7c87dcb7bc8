// Surplus responses, late copies above all: none is taken for the response to another request.
#include "harness.h"

using dewweir::gateway::CarriedRequests;
using namespace dewweir::gateway::tests;

// Guards against the response of one client reaching another that sends the same id, by a late copy.
TEST_CASE("No connection carries two requests with one attempt id, also of two clients") {
    GatewayHarness harness;
    Peer& first = harness.connect();
    first.send(post("a1", "hello"));
    Peer& host = harness.await_host("hello");
    host.send(response("200 OK", "a1", "private"));
    harness.await_client(first, "private");
    Peer& second = harness.connect();
    second.send(post("a1", "other"));
    Peer& other = harness.await_host("other", 1);
    host.send(response("200 OK", "a1", "private"));
    harness.settle();
    other.send(response("200 OK", "a1", "made"));
    harness.await_client(second, "made");
    CHECK_FALSE(second.has("private"));
    CHECK_FALSE(host.has("other"));
}

// Guards against the memory of a connection's ids growing without limit.
TEST_CASE("A connection that has carried its limit of requests gives way to a new one") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    for (std::size_t n = 0; n <= CarriedRequests::limit; ++n) {
        const std::string id = "n" + std::to_string(n) + "-";
        client.send(get(id));
        Peer& host = harness.await_host(id, n < CarriedRequests::limit ? 0 : 1);
        host.send(response("200 OK", id, "body-" + id));
        harness.await_client(client, "body-" + id);
    }
    CHECK(harness.host_connections() == 2);
}
