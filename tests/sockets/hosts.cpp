// Gateway process over loopback: attempts on hosts and their outcomes.
#include "world.h"

TEST_CASE("requests and responses are forwarded completely, on reused connections") {
    World world;
    world.start();
    TestConnection client = world.client();
    client.send(get("first"));
    TestConnection host = world.a.accept();
    const std::string asked = host.read_message();
    CHECK(asked.find("GET /api?x=1 HTTP/1.1\r\n") == 0);
    CHECK(asked.find("X-Request-Id: first\r\n") != asked.npos);
    CHECK(asked.find("X-Deadline: ") != asked.npos);
    host.send(response("200 OK", "done", "Content-Type: text/x-own\r\nX-Load: TEXT queue=2\r\n"));
    const std::string answer = client.read_message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Content-Type: text/x-own\r\n") != answer.npos);
    CHECK(answer.substr(answer.size() - 8) == "\r\n\r\ndone");
    const std::string body(65536, 'x');  // the body limit, in both directions
    client.send(book(body));
    CHECK(host.read_message().find("\r\n\r\n" + body) != std::string::npos);
    host.send(response("200 OK", body));
    CHECK(client.read_message().find("\r\n\r\n" + body) != std::string::npos);
    // Pipelined requests, in pieces, wait for their turn.
    const std::string two = get("third") + get("fourth");
    client.send(two.substr(0, 250));
    CHECK(host.read_message().find("third") != std::string::npos);
    client.send(two.substr(250));
    CHECK(host.silent(20));
    host.send(response("200 OK", "3"));
    CHECK(host.read_message().find("fourth") != std::string::npos);
    host.send(response("200 OK", "4"));
    CHECK(client.read_message().back() == '3');
    CHECK(client.read_message().back() == '4');
}

TEST_CASE("host outcomes: error, refused, reset, no connection") {
    World world;
    SUBCASE("after an error the request may have run: an idempotent one is retried and served") {
        world.start();
        TestConnection client = world.client();
        client.send(get());
        TestConnection host = world.a.accept();
        host.read_message();
        host.send(response("500 Internal Server Error"));
        serve(client, host, "yes");
    }
    SUBCASE("a non-idempotent request fails after an error") {
        world.start();
        TestConnection client = world.client();
        client.send(book());
        TestConnection host = world.a.accept();
        host.read_message();
        host.send(response("503 Service Unavailable"));  // without X-Not-Run it may have run
        CHECK(status(client.read_message()) == 502);
        CHECK(host.silent(20));
    }
    SUBCASE("a non-idempotent request that never ran is retried") {
        world.start();
        TestConnection client = world.client();
        client.send(book());
        TestConnection host = world.a.accept();
        host.read_message();
        host.send(response("503 Service Unavailable", "", "X-Not-Run: 1\r\n"));
        serve(client, host, "booked");
    }
    SUBCASE("a connection that breaks after the last byte fails a non-idempotent request") {
        world.start();
        TestConnection client = world.client();
        client.send(book());
        TestConnection host = world.a.accept();
        host.read_message();
        SUBCASE("reset") { host.reset(); }
        SUBCASE("ended") { host.close(); }
        SUBCASE("in mid-answer") {
            host.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            host.close();
        }
        CHECK(status(client.read_message()) == 502);
    }
    SUBCASE("without a connection even a non-idempotent request is refused") {
        StubServer closed(false);
        world.known = list(4, true, entry("a", closed));
        world.start();
        TestConnection client = world.client();
        client.send(book());
        CHECK(status(client.read_message()) == 503);
    }
    SUBCASE("without a response the client is answered by its deadline and the host's connection is closed") {
        world.start();
        TestConnection client = world.client();
        client.send(replaced(book(), "X-Deadline: 9.0", "X-Deadline: 0.2"));
        TestConnection host = world.a.accept();
        host.read_message();
        CHECK(status(client.read_message()) == 502);
        CHECK(host.ended());
    }
}

TEST_CASE("an idle connection that its host has closed is not reused") {
    World world;
    world.start();
    TestConnection client = world.client();
    client.send(book());
    {
        TestConnection host = world.a.accept();
        serve(client, host, "1");
    }
    // The gateway sees the close before anything that a later connection sends.
    CHECK(status([&] {
              TestConnection other = world.client();
              other.send("GET /health/ready HTTP/1.1\r\n\r\n");
              return other.read_message();
          }()) == 200);
    client.send(book());
    TestConnection host = world.a.accept();
    serve(client, host, "2");
}

TEST_CASE("extra bytes after a response are not taken for a response, and interim responses are limited") {
    World world;
    world.start();
    TestConnection client = world.client();
    client.send(get("1") + get("2"));
    TestConnection host = world.a.accept();
    host.read_message();
    // The response fills one read exactly, and the second request is sent as soon as it is delivered.
    std::string first = response("200 OK", std::string(4000, 'x'));
    first = response("200 OK", std::string(4000 + 4096 - first.size(), 'x'));
    REQUIRE(first.size() == 4096);
    host.send(first + response("200 OK", "noise"));
    CHECK(client.read_message().back() == 'x');
    TestConnection other = world.a.accept();
    serve(client, other, "second");
    CHECK(host.ended());
    // Interim responses are skipped, up to a limit.
    client.send(get("3"));
    other.read_message();
    std::string many = response("100 Continue");
    for (int n = 0; n < 5; ++n) many += many;
    other.send(many);
    CHECK(other.ended());
    TestConnection last = world.a.accept();
    last.read_message();
    last.send("HTTP/1.1 103 Early Hints\r\n\r\n" + response("200 OK", "third"));
    CHECK(client.read_message().find("third") != std::string::npos);
}

TEST_CASE("an unresponsive host loses its attempt to another, and never two are in flight") {
    World world;
    world.settings = replaced(world.settings, R"("goalTime":8000.0)", R"("goalTime":500.0)");
    world.known = list(4, true, entry("a", world.a) + "," + entry("b", world.b));
    world.start();
    TestConnection client = world.client();
    client.send(get());
    StubServer& first = world.a.has_connection(0) || !world.b.has_connection(100) ? world.a : world.b;
    TestConnection silent = first.accept();
    silent.read_message();
    CHECK(silent.ended());  // cancelled by closing, before the next attempt starts
    TestConnection other = (&first == &world.a ? world.b : world.a).accept();
    other.read_message();
    other.send(response("200 OK", "yes"));
    CHECK(status(client.read_message()) == 200);
}

TEST_CASE("an idle connection is closed well before its host would close it") {
    World world;
    world.settings = replaced(world.settings, R"("idleClose":15000.0)", R"("idleClose":400.0)");
    world.start();
    TestConnection client = world.client();
    client.send(get());
    TestConnection host = world.a.accept();
    serve(client, host);
    CHECK(host.ended());
    client.send(get());
    world.a.accept().read_message();
}

TEST_CASE("an unreachable host: connecting times out and the request is refused") {
    World world;
    StubServer full(
        false);  // a full accept queue ignores connections, while a port without a listener refuses them
    full.open(0);
    std::vector<TestConnection> queued;
    for (int n = 0; n < 2 && !full.has_connection(0); ++n) queued.push_back(TestConnection::to(full.port));
    world.known = list(4, true, entry("a", full));
    world.start();
    TestConnection client = world.client();
    const auto began = std::chrono::steady_clock::now();
    client.send(book());
    CHECK(status(client.read_message()) == 503);                                       // it never ran
    CHECK(std::chrono::steady_clock::now() - began > std::chrono::milliseconds(240));  // nothing refused it
}
