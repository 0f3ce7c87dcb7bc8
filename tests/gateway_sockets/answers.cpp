// What a client gets of a host's answer, and what it never gets.
#include "world.h"

using namespace dewweir::gateway::tests;

namespace {

// What becomes of a mutating request when the host says this.
std::string after_saying(const std::string& text, bool then_close = false) {
    World world;
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    Peer& host = world.host_has("hello");
    host.send(text);
    if (then_close) {
        REQUIRE(world.until([&] { return host.unsent() == 0; }));
        host.close();
    }
    world.client_has(client, "\r\n\r\n");
    // Sent once, whatever the answer was.
    CHECK(world.host_connections() == 1);
    CHECK(host.count("hello") == 1);
    return client.received;
}

}  // namespace

TEST_CASE("A host's answer passes with its status, fields and body, but for what concerns one connection") {
    const std::string got =
        after_saying(answer("201 Created", "a1", "made",
                            "X-Kept: 1\r\nX-Hop: 2\r\nConnection: "
                            "X-Hop, X-Server-Seal\r\nKeep-Alive: timeout=3\r\nTE: x\r\n"));
    CHECK(got.starts_with("HTTP/1.1 201 "));
    CHECK(got.ends_with("\r\n\r\nmade"));
    CHECK(got.find("X-Server-Seal: seal-a1\r\n") != std::string::npos);
    CHECK(got.find("X-Kept: 1\r\n") != std::string::npos);
    for (const char* const dropped : {"X-Hop", "Keep-Alive", "TE:"})
        CHECK(got.find(dropped) == std::string::npos);
}

TEST_CASE("What is no whole answer to this request becomes 502") {
    const std::string head = answer_head("200 OK", "a1");
    const std::string seal = "X-Server-Seal: s\r\n";
    CHECK(after_saying("not HTTP at all\r\n\r\n").starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(head + "Content-Length: 9\r\n\r\nshort", true).starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(head + "\r\nno length", true).starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
              .starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
              .starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(answer("200 OK", "a1", "ok", "Content-Encoding: gzip\r\n"))
              .starts_with("HTTP/1.1 502 "));
    CHECK(after_saying("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok")
              .starts_with("HTTP/1.1 502 "));
    CHECK(after_saying(answer("200 OK", "b7", "other"), true).starts_with("HTTP/1.1 502 "));
    CHECK(after_saying("HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 2\r\n\r\nok", true)
              .starts_with("HTTP/1.1 502 "));
}

TEST_CASE("A surplus answer is skipped, and one behind the answer is nobody's") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1"));
    Peer& host = world.host_has("a1");
    host.send("HTTP/1.1 103 Early Hints\r\n\r\n" + answer("200 OK", "a0", "old") +
              answer("200 OK", "a1", "mine") + answer("200 OK", "a1", "twice"));
    world.client_has(client, "mine");
    client.send(get("a2"));
    world.host_has("a2", 1).send(answer("200 OK", "a2", "next"));
    world.client_has(client, "next");
    CHECK(client.count("HTTP/1.1 ") == 2);
    CHECK_FALSE(client.has("old"));
    CHECK_FALSE(client.has("twice"));
}

TEST_CASE("Answers without a body: to HEAD, also after interim ones, and 204") {
    World world;
    Peer& client = world.connect();
    client.send(head_of("HEAD", "/read/x", "a1") + "\r\n");
    Peer& host = world.host_has("HEAD /read/x");
    host.send("HTTP/1.1 102 Processing\r\n\r\n" + answer_head("200 OK", "a1") +
              "Content-Length: 700\r\n\r\n");
    world.client_has(client, "seal-a1");
    CHECK(client.has("Content-Length: 700\r\n"));
    client.send(get("a2"));
    world.host_has("a2", 1).send(answer_head("204 No Content", "a2") + "\r\n");
    world.client_has(client, "seal-a2");
    client.send(get("a3"));
    world.host_has("a3", 1).send(answer("200 OK", "a3", "body"));
    world.client_has(client, "body");
    CHECK(client.count("Content-Length") == 2);
    CHECK(world.host_connections() == 2);  // the interim answer took the first out of use
}

TEST_CASE("A host's own 408, 429 or 503 without its word that it has not run is no promise to the client") {
    for (const std::string status :
         {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        INFO(status);
        CHECK(after_saying(answer(status, "a1", "busy")).starts_with("HTTP/1.1 502 "));
    }
    CHECK(after_saying(answer("500 Internal Server Error", "a1", "bad")).starts_with("HTTP/1.1 500 "));
}

TEST_CASE(
    "An answer begun before the request was wholly sent is not passed on, nor its connection used again") {
    World world;
    Peer& client = world.connect();
    const std::string first(70000, 'x');
    client.send(head_of("POST", "/write/x", "a1") + "Content-Length: 100000\r\n\r\n" + first);
    Peer& host = world.host(0);
    REQUIRE(world.until([&] { return host.received_bytes > first.size(); }));
    SECTION("a success") {
        host.send(answer("200 OK", "a1", "early"));
        world.client_has(client, "\r\n\r\n");
        CHECK(client.received.starts_with("HTTP/1.1 502 "));
    }
    SECTION("a refusal") {
        host.send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
        world.client_has(client, "\r\n\r\n");
        CHECK(client.received.starts_with("HTTP/1.1 503 "));
    }
    Peer& other = world.connect();
    other.send(get("a2"));
    world.host_has("a2", 1);
    CHECK_FALSE(host.has("a2"));
}

TEST_CASE("A host that speaks on an idle connection loses it") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1"));
    Peer& host = world.host_has("a1");
    host.send(answer("200 OK", "a1", "one"));
    world.client_has(client, "one");
    host.send(answer("200 OK", "a1", "two"));
    REQUIRE(world.until([&] { return host.ended; }));
    CHECK_FALSE(client.has("two"));
}
