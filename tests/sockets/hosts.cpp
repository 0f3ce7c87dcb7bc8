// The real program over loopback: executions at hosts, and the ends of them.
#include "world.h"

TEST_CASE("a submission goes through whole, on connections that are used again") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get("first"));
    Line host = world.a.accept();
    const std::string asked = host.message();
    CHECK(asked.find("GET /api?x=1 HTTP/1.1\r\n") == 0);
    CHECK(asked.find("X-Request-Id: first\r\n") != asked.npos);
    CHECK(asked.find("X-Deadline: ") != asked.npos);
    host.send(says("200 OK", "done", "Content-Type: text/x-own\r\nX-Load: TEXT queue=2\r\n"));
    const std::string answer = client.message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Content-Type: text/x-own\r\n") != answer.npos);
    CHECK(answer.substr(answer.size() - 8) == "\r\n\r\ndone");
    const std::string body(65536, 'x');  // the most that a body may hold, both ways
    client.send(book(body));
    CHECK(host.message().find("\r\n\r\n" + body) != std::string::npos);
    host.send(says("200 OK", body));
    CHECK(client.message().find("\r\n\r\n" + body) != std::string::npos);
    // What comes early, in pieces, waits for its turn.
    const std::string two = get("third") + get("fourth");
    client.send(two.substr(0, 250));
    CHECK(host.message().find("third") != std::string::npos);
    client.send(two.substr(250));
    CHECK(host.silent(20));
    host.send(says("200 OK", "3"));
    CHECK(host.message().find("fourth") != std::string::npos);
    host.send(says("200 OK", "4"));
    CHECK(client.message().back() == '3');
    CHECK(client.message().back() == '4');
}

TEST_CASE("what comes back from a host: error, turned away, reset, no connection") {
    World world;
    SUBCASE("an error may have run: a retriable one runs again, and is delivered") {
        world.start();
        Line client = world.client();
        client.send(get());
        Line host = world.a.accept();
        host.message();
        host.send(says("500 Internal Server Error"));
        delivered(client, host, "yes");
    }
    SUBCASE("a binding one is written off after an error") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        host.send(says("503 Service Unavailable"));  // without X-Not-Run it may have run
        CHECK(status(client.message()) == 502);
        CHECK(host.silent(20));
    }
    SUBCASE("a binding one that never ran goes out again") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        host.send(says("503 Service Unavailable", "", "X-Not-Run: 1\r\n"));
        delivered(client, host, "booked");
    }
    SUBCASE("a connection that breaks after the last byte: a binding one is written off") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        SUBCASE("reset") { host.reset(); }
        SUBCASE("ended") { host.close(); }
        SUBCASE("in mid-answer") {
            host.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            host.close();
        }
        CHECK(status(client.message()) == 502);
    }
    SUBCASE("no connection: even a binding one may be bounced, with advice") {
        Door closed(false);
        world.known = list(4, true, entry("a", closed));
        world.start();
        Line client = world.client();
        client.send(book());
        CHECK(status(client.message()) == 503);
    }
    SUBCASE("nothing: an answer comes before the client's limit, and the host's connection is closed") {
        world.start();
        Line client = world.client();
        client.send(replaced(book(), "X-Deadline: 9.0", "X-Deadline: 0.2"));
        Line host = world.a.accept();
        host.message();
        CHECK(status(client.message()) == 502);
        CHECK(host.ended());
    }
}

TEST_CASE("a kept connection that its host has closed is not used") {
    World world;
    world.start();
    Line client = world.client();
    client.send(book());
    {
        Line host = world.a.accept();
        delivered(client, host, "1");
    }
    // Its end is seen by the gateway before anything that a new connection brings later.
    CHECK(status([&] {
              Line other = world.client();
              other.send("GET /health/ready HTTP/1.1\r\n\r\n");
              return other.message();
          }()) == 200);
    client.send(book());
    Line host = world.a.accept();
    delivered(client, host, "2");
}

TEST_CASE("what follows an answer is nobody's answer, and what comes ahead of one comes to an end") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get("1") + get("2"));
    Line host = world.a.accept();
    host.message();
    // The answer fills what is read at once, and the second one goes out as soon as it is told.
    std::string first = says("200 OK", std::string(4000, 'x'));
    first = says("200 OK", std::string(4000 + 4096 - first.size(), 'x'));
    REQUIRE(first.size() == 4096);
    host.send(first + says("200 OK", "noise"));
    CHECK(client.message().back() == 'x');
    Line other = world.a.accept();
    delivered(client, other, "second");
    CHECK(host.ended());
    // Interim answers are skipped, but not without end.
    client.send(get("3"));
    other.message();
    std::string many = says("100 Continue");
    for (int n = 0; n < 5; ++n) many += many;
    other.send(many);
    CHECK(other.ended());
    Line last = world.a.accept();
    last.message();
    last.send("HTTP/1.1 103 Early Hints\r\n\r\n" + says("200 OK", "third"));
    CHECK(client.message().find("third") != std::string::npos);
}

TEST_CASE("a host that goes silent loses its execution to another, and never has two out") {
    World world;
    world.settings = replaced(world.settings, R"("goalTime":8000.0)", R"("goalTime":500.0)");
    world.known = list(4, true, entry("a", world.a) + "," + entry("b", world.b));
    world.start();
    Line client = world.client();
    client.send(get());
    Door& first = world.a.knocked(0) || !world.b.knocked(100) ? world.a : world.b;
    Line silent = first.accept();
    silent.message();
    CHECK(silent.ended());  // called off by closing, before the next one goes out
    Line other = (&first == &world.a ? world.b : world.a).accept();
    other.message();
    other.send(says("200 OK", "yes"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("a kept connection is given back well before its host would close it") {
    World world;
    world.settings = replaced(world.settings, R"("idleClose":15000.0)", R"("idleClose":400.0)");
    world.start();
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    delivered(client, host);
    CHECK(host.ended());
    client.send(get());
    world.a.accept().message();
}

TEST_CASE("a cut-off host: connecting ends by itself, and the submission goes elsewhere or back") {
    World world;
    Door full(false);  // bound and not listening would refuse: one whose queue is full says nothing
    full.open(0);
    std::vector<Line> queued;
    for (int n = 0; n < 2 && !full.knocked(0); ++n) queued.push_back(Line::to(full.port));
    world.known = list(4, true, entry("a", full));
    world.start();
    Line client = world.client();
    const auto began = std::chrono::steady_clock::now();
    client.send(book());
    CHECK(status(client.message()) == 503);                                            // it never ran
    CHECK(std::chrono::steady_clock::now() - began > std::chrono::milliseconds(240));  // nothing refused it
}
