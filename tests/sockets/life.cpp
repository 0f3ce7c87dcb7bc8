// Gateway process over loopback: signals, and the configuration at start.
#include "world.h"

TEST_CASE("SIGHUP: discovery and counter move to their new addresses; calls in flight keep their replies") {
    World world;
    world.with_counter();
    const std::string life = world.window_just_begun();
    world.start();
    TestConnection watch = world.discovery.accept(), counter = world.counter.accept();
    TestConnection client = world.client();
    client.send(get("1", "small"));
    counter.read_until("\r\n");
    StubServer discovery, new_counter;
    world.gateway->configure(
        replaced(replaced(world.configuration(), world.discovery.address(), discovery.address()),
                 world.counter.address(), new_counter.address()));
    world.gateway->signal(SIGHUP);
    TestConnection next = new_counter.accept(), anew = discovery.accept();
    CHECK(watch.read_until("\r\n\r\n").find("index=4 ") != std::string::npos);
    CHECK(watch.ended());
    // The old counter's last reply: the tenant is over its quota.
    counter.send("ok 900\r\n");
    CHECK(status(client.read_message()) == 503);
    next.read_until(" 0 " + life + "\r\n");  // the previous window
    next.send("ok 0\r\n");
    next.read_until(" -1 " + life + "\r\n");  // and its unit is given back
    next.send("ok 899\r\n");
    TestConnection other = world.client();
    other.send(replaced(get("2"), "00000000b4d65521", "0000000000000007"));
    CHECK(next.read_until("\r\n").find(" 1 60000") != std::string::npos);
    next.send("ok 1\r\n");
    // The request has reached its host before the list removes that host; one still waiting for a connection
    // would move.
    TestConnection host = world.a.accept();
    host.read_message();
    // The new source has unrelated revisions and another host.
    anew.read_until("\r\n\r\n");
    anew.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(list(2, true, entry("b", world.b)) + "\n"));
    host.send(response("200 OK"));
    CHECK(status(other.read_message()) == 200);
    CHECK(host.ended());
    other.send(replaced(get("3"), "00000000b4d65521", "0000000000000007"));
    next.read_until("\r\n");
    next.send("ok 2\r\n");
    TestConnection second = world.b.accept();
    serve(other, second);
}

TEST_CASE("SIGHUP with a bad or unchanged file: a message, and the old configuration stays") {
    World world;
    world.with_counter();
    world.start();
    TestConnection watch = world.discovery.accept(), counter = world.counter.accept();
    world.gateway->configure(replaced(world.configuration(), R"("discovery":"127)", R"("discovery":"x)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "error configuration: discovery: "));
    world.gateway->configure(replaced(world.configuration(), R"("sockets":256)", R"("sockets":512)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "configuration: limits.sockets: needs a restart"));
    CHECK(!world.discovery.has_connection(20));
    CHECK(!world.counter.has_connection(0));
    CHECK(counter.silent(0));
}

TEST_CASE("SIGTERM: readiness fails, open requests are answered, connections close and the exit code is 0") {
    World world;
    world.start();
    TestConnection client = world.client(), idle = world.client();
    client.send(book());  // non-idempotent: never cancelled, however long it takes
    TestConnection host = world.a.accept();
    host.read_message();
    world.gateway->signal(SIGTERM);
    CHECK(idle.ended());  // the listener has closed by now
    host.send(response("200 OK", "in time"));
    const std::string answer = client.read_message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Connection: close\r\n") != answer.npos);
    CHECK(client.ended());
    client.close();
    idle.close();
    CHECK(world.gateway->wait_for_exit() == 0);
}

TEST_CASE("SIGTERM: new connections are still served for a while, but readiness fails") {
    World world;
    world.start();
    world.gateway->signal(SIGTERM);
    for (int tried = 0;; ++tried) {  // until the signal has been handled
        TestConnection asks = world.client();
        asks.send("GET /health/ready HTTP/1.1\r\n\r\n");
        if (status(asks.read_message()) == 503) break;
        REQUIRE(tried < 1000);
    }
    TestConnection client = world.client();
    client.send(get());
    TestConnection host = world.a.accept();
    serve(client, host);
}

TEST_CASE("a bad configuration: the message names the key, and the exit code says so") {
    World world;
    const auto fault = [&](const std::string& from, const std::string& to, const std::string& key) {
        GatewayProcess gateway(replaced(world.configuration(), from, to));
        CHECK(gateway.wait_for_exit() == 2);
        CHECK_MESSAGE(gateway.log().find("configuration: " + key) != std::string::npos, gateway.log());
    };
    fault(R"("name":"n1")", R"("name":7)", "name: ");
    fault(R"("listen":)", R"("lisent":)", "listen: ");
    fault(R"("discovery":"127.0.0.1:)", R"("discovery":"localhost:)", "discovery: ");
    fault(R"("seed":"8c)", R"("seed":"zz)", "seed: ");
    fault(R"("sockets":256)", R"("sockets":-1)", "sockets: ");
    fault(R"("settings":{)", R"("sittings":{)", "settings: ");
    fault(R"("phase":"in_service")", R"("phase":"asleep")", "phase: ");
    fault(R"("dialTimeout":250.0)", R"("dialTimeout":"soon")", "settings.limits.connect_within: ");
    fault(R"("fall":3000.0,)", "", "settings.rules.fall: setting missing");
    fault(R"("name":"n1")", R"("name":"n1)", "configuration: no JSON");
    GatewayProcess nowhere(
        replaced(world.configuration(), world.place.address(), "127.0.0.1:" + std::to_string(world.a.port)));
    CHECK(nowhere.wait_for_exit() == 10);  // cannot_listen: docs/errors.md
    CHECK(nowhere.log().find("listen") != std::string::npos);
    CHECK(nowhere.log().find("what to do: ") != std::string::npos);
}
