// The end of a gateway's process: every request that it has read is answered, as what became of it allows.
#include "world.h"

using namespace dewweir::gateway::tests;

TEST_CASE("At the end a request that a host has is answered 504, which promises nothing") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    world.host_has("\r\n\r\nhello");
    world.proxy().drain(world.loop().now());
    world.proxy().answer_open();
    world.client_ends(client);
    CHECK(client.received.starts_with("HTTP/1.1 504 "));
}

TEST_CASE("A request that no host has is answered 503 at the end: it will never run") {
    World world;
    world.host_leaves();
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    REQUIRE(world.until([&] { return world.proxy().open_requests() == 1; }));
    world.proxy().drain(world.loop().now());
    world.proxy().answer_open();
    world.client_ends(client);
    CHECK(client.received.starts_with("HTTP/1.1 503 "));
    world.host_stays();
    world.settle();
    CHECK(world.host_connections() == 0);
}

TEST_CASE("While a gateway ends hosts are given no more time than it has itself") {
    World world;
    world.proxy().drain(world.loop().now() + 2 * dewweir::runtime::tenths_per_second);
    world.connect().send(post("a1", "hello", "X-Time-Left-Ms: 9000\r\n"));
    Peer& host = world.host_has("\r\n\r\nhello");
    CHECK(host.has("X-Time-Left-Ms: 1"));
    CHECK_FALSE(host.has("X-Time-Left-Ms: 9000"));
}

TEST_CASE("Connections that a client keeps open are closed, and a request that crosses that is refused") {
    World world;
    Peer& idle = world.connect();
    Peer& used = world.connect();
    Peer& busy = world.connect();
    busy.send(get("a0"));
    Peer& host = world.host_has("X-Attempt-Id: a0");
    used.send("POST /write/x HTTP/1.1\r\n");
    REQUIRE(world.until([&] { return world.proxy().front().connections() == 3; }));
    world.settle();
    world.proxy().drain(world.loop().now() + 2 * dewweir::runtime::tenths_per_second);
    world.proxy().take_no_more();
    world.client_ends(idle);
    CHECK(idle.received.empty());
    used.send("Host: shop.example\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n");
    world.client_ends(used);
    CHECK(used.received.starts_with("HTTP/1.1 503 "));
    host.send(answer("200 OK", "a0", "done"));
    world.client_ends(busy);
    CHECK(busy.has("done"));
    CHECK_FALSE(host.has("a1"));
}
