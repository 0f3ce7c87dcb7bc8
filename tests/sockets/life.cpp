// The real program over loopback: signals, and the configuration at start.
#include "world.h"

TEST_CASE("SIGHUP: discovery and counter are where the new file says; calls out keep their answers") {
    World world;
    world.with_counter();
    const std::string life = world.window_just_begun();
    world.start();
    Line watch = world.discovery.accept(), counter = world.counter.accept();
    Line client = world.client();
    client.send(get("1", "small"));
    counter.until("\r\n");
    Door discovery, new_counter;
    world.gateway->configure(
        replaced(replaced(world.configuration(), world.discovery.address(), discovery.address()),
                 world.counter.address(), new_counter.address()));
    world.gateway->signal(SIGHUP);
    Line next = new_counter.accept(), anew = discovery.accept();
    CHECK(watch.until("\r\n\r\n").find("index=4 ") != std::string::npos);
    CHECK(watch.ended());
    // Over its quota, says the old counter; that is its last word.
    counter.send("ok 900\r\n");
    CHECK(status(client.message()) == 503);
    next.until(" 0 " + life + "\r\n");  // the window before
    next.send("ok 0\r\n");
    next.until(" -1 " + life + "\r\n");  // and its unit back
    next.send("ok 899\r\n");
    Line other = world.client();
    other.send(replaced(get("2"), "00000000b4d65521", "0000000000000007"));
    CHECK(next.until("\r\n").find(" 1 60000") != std::string::npos);
    next.send("ok 1\r\n");
    // Whole at its host before news that this host is gone: one that still waits for its connection moves.
    Line host = world.a.accept();
    host.message();
    // The new source counts from elsewhere, and has another host.
    anew.until("\r\n\r\n");
    anew.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(list(2, true, entry("b", world.b)) + "\n"));
    host.send(says("200 OK"));
    CHECK(status(other.message()) == 200);
    CHECK(host.ended());
    other.send(replaced(get("3"), "00000000b4d65521", "0000000000000007"));
    next.until("\r\n");
    next.send("ok 2\r\n");
    Line second = world.b.accept();
    delivered(other, second);
}

TEST_CASE("SIGHUP with a bad file, or the same one: a message, and the old one stays") {
    World world;
    world.with_counter();
    world.start();
    Line watch = world.discovery.accept(), counter = world.counter.accept();
    world.gateway->configure(replaced(world.configuration(), R"("discovery":"127)", R"("discovery":"x)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "error configuration: discovery: "));
    world.gateway->configure(replaced(world.configuration(), R"("sockets":256)", R"("sockets":512)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "configuration: limits.sockets: needs a restart"));
    CHECK(!world.discovery.knocked(20));
    CHECK(!world.counter.knocked(0));
    CHECK(counter.silent(0));
}

TEST_CASE("SIGTERM: not ready, what is open is answered and let go, and it ends clean") {
    World world;
    world.start();
    Line client = world.client(), idle = world.client();
    client.send(book());  // never called off, however long it takes
    Line host = world.a.accept();
    host.message();
    world.gateway->signal(SIGTERM);
    CHECK(idle.ended());  // the door has closed by now
    host.send(says("200 OK", "in time"));
    const std::string answer = client.message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Connection: close\r\n") != answer.npos);
    CHECK(client.ended());
    client.close();
    idle.close();
    CHECK(world.gateway->ends() == 0);
}

TEST_CASE("SIGTERM: new connections are still served for a while, but not called ready") {
    World world;
    world.start();
    world.gateway->signal(SIGTERM);
    for (int tried = 0;; ++tried) {  // until the signal has come through
        Line asks = world.client();
        asks.send("GET /health/ready HTTP/1.1\r\n\r\n");
        if (status(asks.message()) == 503) break;
        REQUIRE(tried < 1000);
    }
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    delivered(client, host);
}

TEST_CASE("a bad configuration: the message names the key, and the exit code says so") {
    World world;
    const auto fault = [&](const std::string& from, const std::string& to, const std::string& key) {
        Gateway gateway(replaced(world.configuration(), from, to));
        CHECK(gateway.ends() == 2);
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
    Gateway nowhere(
        replaced(world.configuration(), world.place.address(), "127.0.0.1:" + std::to_string(world.a.port)));
    CHECK(nowhere.ends() == 10);  // cannot_listen: docs/errors.md
    CHECK(nowhere.log().find("listen") != std::string::npos);
    CHECK(nowhere.log().find("what to do: ") != std::string::npos);
}
