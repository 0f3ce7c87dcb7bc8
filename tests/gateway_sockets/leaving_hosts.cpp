// A host that leaves while a request for it waits for its connection: the decision was made on a list that is
// no longer the latest when the first byte could be written.
#include "world.h"

using namespace dewweir::gateway::tests;

namespace {

constexpr dewweir::runtime::Time no_end = std::numeric_limits<dewweir::runtime::Time>::max();

// The client's request has been given to the host, and its connection is not up yet.
void until_connecting(World& world) {
    world.step_until([&] { return world.proxy().connecting() == 1; });
}

void nothing_reaches_the_host(World& world) {
    world.settle();
    REQUIRE(world.proxy().connecting() == 0);
    if (world.host_connections() > 0) CHECK(world.host().received.empty());
}

}  // namespace

TEST_CASE("A request that waits for its connection isn't sent to a host that leaves by then") {
    World world;
    world.connect().send(get("a1"));
    until_connecting(world);
    world.host_leaves();
    nothing_reaches_the_host(world);
}

TEST_CASE("Nor to a host whose zone is evacuated by then") {
    World world;
    world.connect().send(get("a1"));
    until_connecting(world);
    world.evacuate();
    nothing_reaches_the_host(world);
}

TEST_CASE("It goes out once there is a host again, and once only") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    until_connecting(world);
    world.host_leaves();
    nothing_reaches_the_host(world);
    world.host_stays();
    const std::size_t last = world.host_connections();
    Peer& host = world.host_has("\r\n\r\nhello", last);
    host.send(answer("200 OK", "a1", "done"));
    world.client_has(client, "done");
    CHECK(host.count("X-Attempt-Id") == 1);
}

TEST_CASE("While the list of hosts is too old nothing is sent by it, and clients are told to come back") {
    World world;
    Peer& waiting = world.connect();
    waiting.send(post("a1", "hello"));
    until_connecting(world);
    world.proxy().set_list_valid_until(0);
    nothing_reaches_the_host(world);
    world.client_has(waiting, "HTTP/1.1 503 ");
    Peer& client = world.connect();
    client.send(post("a2", "hello"));
    world.client_has(client, "HTTP/1.1 503 ");
    CHECK(client.has("Retry-After: "));
    world.proxy().set_list_valid_until(no_end);
    client.send(post("a3", "hello"));
    world.until([&] { return world.host_connections() > 1; });
    const std::size_t last = world.host_connections() - 1;
    world.host_has("X-Attempt-Id: a3", last).send(answer("200 OK", "a3", "done"));
    world.client_has(client, "done");
}

TEST_CASE("A request whose connection stands after the end of the list's lease isn't written") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    until_connecting(world);
    world.end_list_lease();
    nothing_reaches_the_host(world);
    world.client_has(client, "HTTP/1.1 503 ");
}

TEST_CASE("What a leaving host has of a request is finished there") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    Peer& host = world.host_has("\r\n\r\nhello");
    world.host_leaves();
    host.send(answer("200 OK", "a1", "done"));
    world.client_has(client, "done");
}
