// Gateway process over loopback: the counter client.
#include "world.h"

TEST_CASE(
    "counter: calls are lines with replies in order; when late, busy, broken or absent, local shares "
    "decide") {
    World world;
    world.with_counter();
    world.start();
    TestConnection counter = world.counter.accept();
    TestConnection client = world.client(), host = [&] {
        client.send(get());
        const std::string call = counter.read_until("\r\n");
        CHECK(call.find("incr ") == 0);
        CHECK(call.find(" 1 60000\r\n") != call.npos);
        CHECK(!world.a.has_connection(20));  // no attempt starts before the reply
        SUBCASE("ok") { counter.send("ok 1\r\n"); }
        SUBCASE("in pieces") {
            counter.send("o");
            counter.send("k 1\r");
            counter.send("\n");
        }
        SUBCASE("busy") { counter.send("busy\r\n"); }
        SUBCASE("error") { counter.send("error\r\n"); }
        SUBCASE("unreadable") { counter.send("ok many\r\n"); }
        SUBCASE("no number") { counter.send("ok nan\r\n"); }
        SUBCASE("broken") { counter.reset(); }
        SUBCASE("late") {}  // no reply within the call timeout
        return world.a.accept();
    }();
    serve(client, host);
}

TEST_CASE("counter replies are matched to calls by order, late ones too") {
    World world;
    world.with_counter();
    world.window_just_begun();
    world.start();
    TestConnection counter = world.counter.accept();
    // The second tenant's call is sent before the first one's times out; the replies come after both timed
    // out.
    TestConnection first = world.client(), second = world.client();
    first.send(get("1", "small"));
    const std::string call = counter.read_until("\r\n");
    second.send(replaced(get("2", "small"), "00000000b4d65521", "0000000000000007"));
    CHECK(counter.read_until("\r\n").substr(0, 10) != call.substr(0, 10));
    SUBCASE("in time: the first is over its quota, the second is not") {
        counter.send("ok 900\r\nok 1\r\n");
        CHECK(status(first.read_message()) == 503);
        TestConnection host = world.a.accept();
        CHECK(host.read_message().find("X-Request-Id: 2\r\n") != std::string::npos);
        host.send(response("200 OK"));
        CHECK(status(second.read_message()) == 200);
    }
    SUBCASE("late: shares let both in, and the next call gets its own answer") {
        for (int n = 0; n < 2; ++n) {
            TestConnection host = world.a.accept();
            host.read_message();
            host.send(response("200 OK"));
            host.close();
        }
        CHECK(status(first.read_message()) == 200);
        CHECK(status(second.read_message()) == 200);
        counter.send("ok 900\r\nok 900\r\n");
        // Most requests still make a call; the others are decided by the local share.
        for (int n = 3;; ++n) {
            REQUIRE(n < 30);
            TestConnection other = world.client();
            other.send(replaced(get(std::to_string(n)), "00000000b4d65521",
                                "00000000000000" + std::to_string(n + 10)));
            const bool called = !counter.silent(30);
            if (called) {
                counter.read_until("\r\n");
                CHECK(!world.a.has_connection(20));
                counter.send("ok 1\r\n");
            }
            TestConnection host = world.a.accept();
            serve(other, host);
            if (called) break;
            host.close();
        }
    }
}

TEST_CASE("an unreadable counter reply closes the connection but opens no breaker") {
    World world;
    world.with_counter();
    world.start();
    for (int n = 0; n < 4; ++n) {
        TestConnection counter = world.counter.accept();
        for (const bool good : {true, false}) {
            TestConnection client = world.client();
            client.send(get(std::to_string(n)));
            CHECK(counter.read_until("\r\n").find("incr ") == 0);
            counter.send(good ? "ok 1\r\n" : "noise\r\n");
            TestConnection host = world.a.accept();
            serve(client, host);
        }
        CHECK(counter.ended());
    }
    CHECK(world.gateway->log().find("breaker") == std::string::npos);
}

TEST_CASE("an unresponsive counter connection is replaced after a few call timeouts") {
    World world;
    world.with_counter();
    world.window_just_begun();
    world.settings = replaced(world.settings, R"("countLimit":1000.0)", R"("countLimit":100.0)");
    world.start();
    TestConnection counter = world.counter.accept();
    const auto began = std::chrono::steady_clock::now();
    std::vector<TestConnection> clients;
    while (!world.counter.has_connection(50)) {
        clients.push_back(world.client());
        clients.back().send(get(std::to_string(clients.size()), "small"));
        REQUIRE(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1700));
    }
    CHECK(clients.size() > 4);  // not before
}

TEST_CASE("the gateway reconnects to a counter that returns") {
    World world;
    StubServer absent(false);
    world.settings = replaced(world.settings, R"("counter":false)", R"("counter":true)");
    world.gateway = std::make_unique<GatewayProcess>(
        replaced(world.configuration(), world.counter.address(), absent.address()));
    CHECK(absent.port > 0);
    absent.open();
    TestConnection counter = absent.accept();
    counter.reset();
    TestConnection again = absent.accept();
    CHECK(again.silent(20));
}
