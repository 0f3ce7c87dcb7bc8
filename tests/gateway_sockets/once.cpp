// Once only, at every byte boundary: a mutating request runs at most once however its client or its host
// breaks off, and no answer reaches another request.
#include "world.h"

using namespace dewweir::gateway::tests;

namespace {

const std::string request = post("a1", "hello");
const std::string answer_text = answer("200 OK", "a1", "made");

}  // namespace

TEST_CASE("A host that breaks off after any byte of its answer is not sent the mutating request again") {
    World world;
    for (std::size_t sent = 0; sent <= answer_text.size(); ++sent) {
        for (const bool by_reset : {false, true}) {
            CAPTURE(sent, by_reset);
            const std::size_t connections = world.host_connections();
            Peer& client = world.connect();
            client.send(request);
            Peer& host = world.host_has("hello", connections);
            if (sent > 0) host.send(answer_text.substr(0, sent));
            REQUIRE(world.until([&] { return host.unsent() == 0; }));
            // Once it has come over: a reset would take it back.
            if (sent == answer_text.size()) world.client_has(client, "\r\n\r\n");
            by_reset ? host.reset() : host.close();
            world.client_has(client, "\r\n\r\n");
            CHECK(
                client.received.starts_with(sent == answer_text.size() ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
            world.settle();
            CHECK(world.host_connections() == connections + 1);
            CHECK(host.count("hello") == 1);
            CHECK(client.count("HTTP/1.1 ") == 1);
            client.close();
        }
    }
}

TEST_CASE("A request that comes in two pieces, parted anywhere, runs once; one that ends anywhere, never") {
    World world;
    for (std::size_t first = 1; first < request.size(); ++first) {
        CAPTURE(first);
        const std::size_t connections = world.host_connections();
        Peer& cut_short = world.connect();
        cut_short.send(request.substr(0, first));
        REQUIRE(world.until([&] { return cut_short.unsent() == 0; }));
        world.settle();
        cut_short.reset();
        world.settle();
        CHECK(world.host_connections() == connections);

        Peer& client = world.connect();
        client.send(request.substr(0, first));
        world.settle();
        client.send(request.substr(first));
        Peer& host = world.host_has("hello", connections);
        CHECK(host.count("X-Attempt-Id: a1") == 1);
        host.send(answer_text);
        world.client_has(client, "made");
        host.close();
        client.close();
        world.settle();
    }
}

TEST_CASE("An idle connection that its host has forgotten costs a mutating request nothing twice") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "first"));
    Peer& host = world.host_has("first");
    host.send(answer("200 OK", "a1", "made"));
    world.client_has(client, "made");
    host.reset();
    client.send(post("a2", "second"));
    world.settle();
    // Seen closed before anything was written: a new connection, once.
    if (world.host_connections() == 2) {
        world.host_has("second", 1).send(answer("200 OK", "a2", "again"));
        world.client_has(client, "again");
    } else {
        world.client_has(client, "HTTP/1.1 502 ");
    }
    CHECK(world.host_connections() <= 2);
}
