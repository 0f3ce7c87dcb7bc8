// The real program over loopback: discovery and its watch.
#include "world.h"

TEST_CASE("the watch: changes, a broken line, a reconnect from the revision reached") {
    World world;
    world.start();
    Line watch = world.discovery.accept();
    CHECK(watch.until("\r\n").find("GET /registry/instances?stream=1&index=4 ") == 0);
    watch.until("\r\n\r\n");
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
    // b comes and a drains, in a line that comes in pieces.
    const std::string news =
        list(5, false, entry("a", world.a, "terminating") + "," + entry("b", world.b)) + "\n";
    watch.send(chunk(news.substr(0, 30)));
    watch.send(chunk(news.substr(30)));
    watch.send(chunk(list(3, true, entry("a", world.a)) + "\n"));  // older: ignored
    watch.send(chunk("{no list\n"));                               // ends this watch alone
    CHECK(watch.ended());
    Line client = world.client();
    client.send(get());
    Line host = world.b.accept();
    delivered(client, host);
    CHECK(!world.a.knocked(20));
    Line anew = world.discovery.accept();
    CHECK(anew.until("\r\n").find("index=5 ") != std::string::npos);
    // A whole list without b: its kept connection is given back.
    anew.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(list(6, true, entry("a", world.a)) + "\n"));
    CHECK(host.ended());
}

TEST_CASE("a spoilt discovery: refused, cut off in a line, told twice, gone back, told that all are gone") {
    World world;
    world.start();
    Line client = world.client();
    const std::string opened = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string whole = list(5, true, entry("a", world.a));
    {
        Line watch = world.discovery.accept();
        watch.until("\r\n\r\n");
        watch.send(says("503 Service Unavailable"));
        CHECK(watch.ended());
    }
    CHECK(logged(world, "warning discovery: answers 503"));
    {
        Line watch = world.discovery.accept();
        watch.until("\r\n\r\n");
        watch.send(opened + chunk(whole.substr(0, whole.size() / 2)));
        watch.close();
    }
    // What was known still serves, and half a line has told nothing.
    client.send(get());
    Line host = world.a.accept();
    delivered(client, host);
    Line watch = world.discovery.accept();
    CHECK(watch.until("\r\n").find("index=4 ") != std::string::npos);
    watch.until("\r\n\r\n");
    watch.send(opened + chunk(whole + "\n") + chunk(whole + "\n"));
    watch.send(chunk(list(2, true, "") + "\n"));
    CHECK(logged(world, "warning discovery: a list of revision 2, older than 5: left out"));
    // The kept connection has outlived all that.
    client.send(get("2"));
    delivered(client, host);
    CHECK(!world.a.knocked(20));
    // All are gone: one final answer within its time, and service again with the next host.
    watch.send(chunk(list(6, true, "") + "\n"));
    CHECK(host.ended());
    client.send(get("3", "worth", "0.3"));
    CHECK(status(client.message()) == 503);
    CHECK(client.silent(20));
    watch.send(chunk(list(7, false, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "told revision 7"));
    client.send(get("4"));
    Line other = world.b.accept();
    delivered(client, other);
}

TEST_CASE(
    "without a known list: bounced in time while there is none, served once it has come; no flood of asks") {
    World world;
    world.known = "null";
    world.start();
    Line client = world.client();
    client.send(get("1", "worth", "0.3"));
    CHECK(status(client.message()) == 503);
    // Refused at once, again and again: its waits are chances under 78 ms, then twice that each time, up to
    // 1.25 s. Their means, 39, 78, 156, 312 and 625 ms, make six asks in a second; twenty would be a flood.
    int asks = 0;
    using namespace std::chrono;
    const auto until = steady_clock::now() + seconds(1);
    while (steady_clock::now() < until)
        if (world.discovery.knocked(20)) {
            Line watch = world.discovery.accept();
            watch.until("\r\n\r\n");
            watch.send(says("503 Service Unavailable"));
            ++asks;
        }
    CHECK(asks >= 1);
    CHECK(asks <= 20);
    Line watch = world.discovery.accept();
    CHECK(watch.until("\r\n").find("index=0 ") != std::string::npos);
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
               chunk(list(1, true, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "told revision 1"));
    client.send(get("2"));
    Line host = world.b.accept();
    delivered(client, host);
}

TEST_CASE("a discovery whose revisions begin anew is believed once it has been behind for long") {
    World world;
    world.settings = replaced(world.settings, R"("askWithin":10000.0)", R"("askWithin":200.0)");
    world.start();
    const std::string opened = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    Line watch = world.discovery.accept();
    watch.until("\r\n\r\n");
    watch.send(opened + chunk(list(2, true, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "a list of revision 2, older than 4: left out"));
    SUBCASE("one that catches up was only late") {
        watch.send(chunk(list(5, true, entry("a", world.a)) + "\n"));
        CHECK(logged(world, "told revision 5"));
        CHECK(!world.discovery.knocked(600));  // no second watch
    }
    SUBCASE("one that stays behind is asked for all it has") {
        Line client = world.client();
        Line anew = world.discovery.accept();
        CHECK(anew.until("\r\n").find("index=0 ") != std::string::npos);
        anew.until("\r\n\r\n");
        anew.send(opened + chunk(list(2, true, entry("b", world.b)) + "\n"));
        CHECK(logged(world, "told revision 2"));
        client.send(get());
        Line host = world.b.accept();
        delivered(client, host);
        CHECK(!world.a.knocked(20));
    }
}
