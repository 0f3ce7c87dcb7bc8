// Further attempts of a request that a host has had already go by the budget.
#include "world.h"

using namespace dewweir::gateway::tests;
using dewweir::gateway::RetryBound;

namespace {

const std::string turned_away =
    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
// Every request brings a further attempt.
constexpr RetryBound ample{2.0, 10.0};

}  // namespace

TEST_CASE("Without budget a request that a host has turned away is refused at once, and may be asked again") {
    World world;
    Peer& client = world.connect();
    const bool repeatable = GENERATE(true, false);
    client.send(repeatable ? get("a1") : post("a1", "hello"));
    Peer& host = world.host_has("a1");
    host.send(turned_away);
    world.client_has(client, "\r\n\r\n");
    CHECK(client.received.starts_with("HTTP/1.1 503 "));
    CHECK(client.has("Retry-After: "));
    world.settle();
    CHECK(host.count("X-Attempt-Id: a1") == 1);
    CHECK(world.host_connections() == 1);
}

TEST_CASE("With budget it goes to a host again") {
    World world({}, ample);
    Peer& client = world.connect();
    client.send(get("a1"));
    Peer& host = world.host_has("a1");
    host.send(turned_away);
    REQUIRE(world.until([&] { return host.count("X-Attempt-Id: a1") == 2; }));
    host.send(answer("200 OK", "a1", "served"));
    world.client_has(client, "served");
}
