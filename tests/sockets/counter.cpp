// The real program over loopback: the counter.
#include "world.h"

TEST_CASE(
    "the counter: asked in lines, answered in order; late, busy, broken and absent ones let shares decide") {
    World world;
    world.with_counter();
    world.start();
    Line counter = world.counter.accept();
    Line client = world.client(), host = [&] {
        client.send(get());
        const std::string call = counter.until("\r\n");
        CHECK(call.find("incr ") == 0);
        CHECK(call.find(" 1 60000\r\n") != call.npos);
        CHECK(!world.a.knocked(20));  // nothing is sent before the count is known
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
        SUBCASE("late") {}  // no word within count_limit
        return world.a.accept();
    }();
    delivered(client, host);
}

TEST_CASE("answers of the counter go to their calls by order, a late one too") {
    World world;
    world.with_counter();
    world.window_just_begun();
    world.start();
    Line counter = world.counter.accept();
    // The second customer's call goes out before the first one's is late; the answers come when both are.
    Line first = world.client(), second = world.client();
    first.send(get("1", "small"));
    const std::string call = counter.until("\r\n");
    second.send(replaced(get("2", "small"), "00000000b4d65521", "0000000000000007"));
    CHECK(counter.until("\r\n").substr(0, 10) != call.substr(0, 10));
    SUBCASE("in time: the first is over its quota, the second is not") {
        counter.send("ok 900\r\nok 1\r\n");
        CHECK(status(first.message()) == 503);
        Line host = world.a.accept();
        CHECK(host.message().find("X-Request-Id: 2\r\n") != std::string::npos);
        host.send(says("200 OK"));
        CHECK(status(second.message()) == 200);
    }
    SUBCASE("late: shares let both in, and the next call gets its own answer") {
        for (int n = 0; n < 2; ++n) {
            Line host = world.a.accept();
            host.message();
            host.send(says("200 OK"));
            host.close();
        }
        CHECK(status(first.message()) == 200);
        CHECK(status(second.message()) == 200);
        counter.send("ok 900\r\nok 900\r\n");
        // Most calls are still made; those that are not are decided by their share.
        for (int n = 3;; ++n) {
            REQUIRE(n < 30);
            Line other = world.client();
            other.send(replaced(get(std::to_string(n)), "00000000b4d65521",
                                "00000000000000" + std::to_string(n + 10)));
            const bool called = !counter.silent(30);
            if (called) {
                counter.until("\r\n");
                CHECK(!world.a.knocked(20));
                counter.send("ok 1\r\n");
            }
            Line host = world.a.accept();
            delivered(other, host);
            if (called) break;
            host.close();
        }
    }
}

TEST_CASE("an answer of the counter that cannot be read costs its connection, and opens no breaker") {
    World world;
    world.with_counter();
    world.start();
    for (int n = 0; n < 4; ++n) {
        Line counter = world.counter.accept();
        for (const bool good : {true, false}) {
            Line client = world.client();
            client.send(get(std::to_string(n)));
            CHECK(counter.until("\r\n").find("incr ") == 0);
            counter.send(good ? "ok 1\r\n" : "noise\r\n");
            Line host = world.a.accept();
            delivered(client, host);
        }
        CHECK(counter.ended());
    }
    CHECK(world.gateway->log().find("breaker") == std::string::npos);
}

TEST_CASE("a counter's connection gone silent is replaced after a few limits of a call") {
    World world;
    world.with_counter();
    world.window_just_begun();
    world.settings = replaced(world.settings, R"("countLimit":1000.0)", R"("countLimit":100.0)");
    world.start();
    Line counter = world.counter.accept();
    const auto began = std::chrono::steady_clock::now();
    std::vector<Line> clients;
    while (!world.counter.knocked(50)) {
        clients.push_back(world.client());
        clients.back().send(get(std::to_string(clients.size()), "small"));
        REQUIRE(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1700));
    }
    CHECK(clients.size() > 4);  // not before
}

TEST_CASE("a counter that is gone is found again when it is back") {
    World world;
    Door absent(false);
    world.settings = replaced(world.settings, R"("counter":false)", R"("counter":true)");
    world.gateway =
        std::make_unique<Gateway>(replaced(world.configuration(), world.counter.address(), absent.address()));
    CHECK(absent.port > 0);
    absent.open();
    Line counter = absent.accept();
    counter.reset();
    Line again = absent.accept();
    CHECK(again.silent(20));
}
