// Surplus responses, late copies above all: none is taken for the response to another request, and none costs
// the request that it arrives before its own response.
#include "harness.h"

using dewweir::gateway::CarriedRequests;
using namespace dewweir::gateway::tests;

namespace {

const std::string stated_length = "Content-Length: 700\r\n\r\n";

std::string head(const std::string& attempt_id) {
    return request_head("HEAD", "/read/x", attempt_id) + "\r\n";
}
// Response to HEAD: it states the length of a body that does not follow.
std::string head_response(const std::string& attempt_id) {
    return response_head("200 OK", attempt_id) + stated_length;
}
const std::string refusal_without_id = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";

}  // namespace

// Guards against 502 or 504 for a request whose response was read as the body of a late response to HEAD.
TEST_CASE("A late copy of a response to HEAD does not swallow the response to the next request") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(head("a1"));
    Peer& host = harness.await_host("a1");
    host.send(head_response("a1"));
    harness.await_client(client, "seal-a1");
    client.send(post("a2", "hello"));
    harness.await_host("hello");
    host.send(head_response("a1"));
    harness.settle();
    host.send(response("200 OK", "a2", "made"));
    harness.await_client(client, "made");
    CHECK(client.count("HTTP/1.1 200 ") == 2);
    CHECK(host.count("hello") == 1);
}

// Guards against 502 for a HEAD request when the body of a late copy was read as the next response.
TEST_CASE("A late copy with a body is skipped whole before the response to HEAD") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send(response("200 OK", "a1", "one"));
    harness.await_client(client, "one");
    client.send(head("a2"));
    harness.await_host("a2");
    host.send("HTTP/1.1 103 Early Hints\r\n\r\n" + response("200 OK", "a1", "one") + head_response("a2"));
    harness.await_client(client, "seal-a2");
    CHECK(client.count("HTTP/1.1 200 ") == 2);
}

// Guards against a request held until its deadline by a response whose end cannot be found.
TEST_CASE("After HEAD a response that names no request of its connection ends the attempt at once") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(head("a1"));
    Peer& host = harness.await_host("a1");
    host.send(head_response("a1"));
    harness.await_client(client, "seal-a1");
    client.send(post("a2", "hello"));
    harness.await_host("hello");
    const std::string start =
        GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n", response_head("200 OK", "b7"),
                 response_head("200 OK", "a2") + "X-Attempt-Id: a1\r\n", refusal_without_id);
    host.send(start + stated_length + response("200 OK", "a2", "made"));
    harness.await_client(client, "HTTP/1.1 502 ");
    REQUIRE(harness.run_until([&] { return host.ended; }));
    CHECK(host.count("hello") == 1);
    CHECK(harness.host_connections() == 1);
}

TEST_CASE("After HEAD a refusal without an id and without a body is skipped") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(head("a1"));
    Peer& host = harness.await_host("a1");
    host.send(head_response("a1"));
    harness.await_client(client, "seal-a1");
    client.send(post("a2", "hello"));
    harness.await_host("hello");
    host.send(refusal_without_id + "Content-Length: 0\r\n\r\n" + response("200 OK", "a2", "made"));
    harness.await_client(client, "made");
    CHECK(client.count("HTTP/1.1 200 ") == 2);
}

TEST_CASE("A refusal without an id counts for HEAD on a new connection") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(head("a1"));
    harness.await_host("a1").send(refusal_without_id + stated_length);
    harness.await_client(client, "HTTP/1.1 503 ");
}

// Guards against 502 for a request that has run, because a surplus response did not fit into the buffer.
TEST_CASE("A surplus response longer than a buffer is skipped") {
    GatewayHarness harness;
    const std::size_t length = GENERATE(std::size_t{1} << 16, 200'000);
    const bool chunked = GENERATE(false, true);
    const std::string body(length, 'x');
    const std::string surplus =
        chunked ? response_head("200 OK", "a1") + "Transfer-Encoding: chunked\r\n\r\n" +
                      (length > 100'000 ? "30d40" : "10000") + "\r\n" + body + "\r\n0\r\n\r\n"
                : response("200 OK", "a1", body);
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send(response("200 OK", "a1", "one"));
    harness.await_client(client, "one");
    client.send(post("a2", "hello"));
    harness.await_host("hello");
    host.send(surplus + response("200 OK", "a2", "made"));
    harness.await_client(client, "made");
    CHECK(client.count("HTTP/1.1 200 ") == 2);
    CHECK_FALSE(client.has("xx"));
}

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
