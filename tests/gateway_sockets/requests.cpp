// What reaches a host of a client's request, and what never does.
#include "world.h"

using namespace dewweir::gateway::tests;

TEST_CASE("A request passes with its path, body and fields, but for those of one connection and of ours") {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello",
                     "Connection: X-Hop, X-Attempt-Id\r\nX-Hop: 1\r\nX-Kept: 2\r\nX-Tenant: other\r\n"
                     "Authorization: Bearer key\r\nX-Expect-Instance: i-9\r\nX-Time-Left-Ms: 9000\r\n"));
    Peer& host = world.host_has("\r\n\r\nhello");
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
    World world;
    world.connect().send(post("a1", ""));
    world.host_has("Content-Length: 0\r\n");
}

TEST_CASE("A client that waits for 100 Continue is told to go on") {
    World world;
    Peer& client = world.connect();
    client.send(head_of("POST", "/write/x", "a1") + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    world.client_has(client, "HTTP/1.1 100 Continue\r\n\r\n");
    client.send("body");
    Peer& host = world.host_has("\r\n\r\nbody");
    CHECK_FALSE(host.has("Expect:"));
    host.send(answer("200 OK", "a1", "done"));
    world.client_has(client, "done");
    CHECK(client.count("HTTP/1.1 ") == 2);
}

TEST_CASE("Pipelined requests are answered in order, one at a time") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1") + get("a2"));
    Peer& host = world.host_has("X-Attempt-Id: a1");
    CHECK_FALSE(host.has("a2"));
    host.send(answer("200 OK", "a1", "first"));
    world.host_has("X-Attempt-Id: a2").send(answer("200 OK", "a2", "second"));
    world.client_has(client, "second");
    CHECK(client.received.find("first") < client.received.find("second"));
    CHECK(world.host_connections() == 1);
}

TEST_CASE("Limits on what a client may send are answered with their status, and nothing reaches a host") {
    dewweir::configuration::ClientLimits limits;
    limits.max_header_bytes = 1000;
    limits.max_body_bytes = 5000;
    limits.header_timeout = std::chrono::milliseconds{50};
    World world(limits);
    const auto status_of = [&](const std::string& text) {
        Peer& client = world.connect();
        client.send(text);
        world.client_ends(client);
        return client.received.substr(0, 12);
    };
    CHECK(status_of(get("a1", "X-Long: " + std::string(2000, 'x') + "\r\n")) == "HTTP/1.1 431");
    CHECK(status_of(head_of("POST", "/write/x", "a2") + "Content-Length: 5001\r\n\r\n") == "HTTP/1.1 413");
    CHECK(status_of(head_of("POST", "/write/x", "a3") + "Transfer-Encoding: chunked\r\n\r\n1389\r\n" +
                    std::string(5001, 'x') + "\r\n0\r\n\r\n") == "HTTP/1.1 413");
    CHECK(status_of("GET /read/x HTTP/1.1\r\nHost:") == "HTTP/1.1 408");
    CHECK(status_of("GET /read/x HTTP/1.1\nHost: shop.example\n\n") == "HTTP/1.1 400");
    CHECK(status_of(get("a4", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n")) == "HTTP/1.1 400");
    CHECK(world.host_connections() == 0);
}

TEST_CASE("A silent connection is closed after the idle time, also one whose body stops coming") {
    dewweir::configuration::ClientLimits limits;
    limits.idle_timeout = std::chrono::milliseconds{50};
    World world(limits);
    Peer& silent = world.connect();
    Peer& halfway = world.connect();
    halfway.send(head_of("POST", "/write/x", "a1") + "Content-Length: 10\r\n\r\nhalf");
    world.client_ends(silent);
    world.client_ends(halfway);
    CHECK(silent.received.empty());
    CHECK(world.host_connections() == 0);
    CHECK(world.proxy().open_requests() == 0);
}

TEST_CASE("A client that ends its sending after its request still gets its answer") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1"));
    client.end_sending();
    world.host_has("a1").send(answer("200 OK", "a1", "whole"));
    world.client_ends(client);
    CHECK(client.received.ends_with("\r\n\r\nwhole"));
    CHECK_FALSE(client.was_reset);
}

TEST_CASE("The attempt of a client that leaves is called off, a mutating one goes on unseen") {
    World world;
    Peer& reader = world.connect();
    reader.send(get("a1"));
    Peer& read = world.host_has("a1");
    Peer& writer = world.connect();
    writer.send(post("a2", "hello"));
    Peer& write = world.host_has("hello", 1);
    reader.reset();
    writer.reset();
    REQUIRE(world.until([&] { return read.ended; }));
    CHECK_FALSE(write.ended);
    write.send(answer("200 OK", "a2", "done"));
    REQUIRE(world.until([&] { return world.proxy().open_requests() == 0; }));
    CHECK_FALSE(write.ended);
}
