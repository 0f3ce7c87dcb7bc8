// Gateway process over loopback: the discovery watch.
#include "world.h"

TEST_CASE("watch: changes, a malformed line, a reconnect from the last revision") {
    World world;
    world.start();
    TestConnection watch = world.discovery.accept();
    CHECK(watch.read_until("\r\n").find("GET /registry/instances?stream=1&index=4 ") == 0);
    watch.read_until("\r\n\r\n");
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n"));
    // b is added and a drains, in a line that arrives in pieces.
    const std::string news =
        list(5, false, entry("a", world.a, "terminating") + "," + entry("b", world.b)) + "\n";
    watch.send(chunk(news.substr(0, 30)));
    watch.send(chunk(news.substr(30)));
    watch.send(chunk(list(3, true, entry("a", world.a)) + "\n"));  // older: ignored
    watch.send(chunk("{no list\n"));                               // ends only this watch
    CHECK(watch.ended());
    TestConnection client = world.client();
    client.send(get());
    TestConnection host = world.b.accept();
    serve(client, host);
    CHECK(!world.a.has_connection(20));
    TestConnection anew = world.discovery.accept();
    CHECK(anew.read_until("\r\n").find("index=5 ") != std::string::npos);
    // A complete list without b: its idle connection is closed.
    anew.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(list(6, true, entry("a", world.a)) + "\n"));
    CHECK(host.ended());
}

TEST_CASE("faulty discovery: error status, truncated line, duplicate list, older revision, empty list") {
    World world;
    world.start();
    TestConnection client = world.client();
    const std::string opened = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string whole = list(5, true, entry("a", world.a));
    {
        TestConnection watch = world.discovery.accept();
        watch.read_until("\r\n\r\n");
        watch.send(response("503 Service Unavailable"));
        CHECK(watch.ended());
    }
    CHECK(logged(world, "warning discovery: answers 503"));
    {
        TestConnection watch = world.discovery.accept();
        watch.read_until("\r\n\r\n");
        watch.send(opened + chunk(whole.substr(0, whole.size() / 2)));
        watch.close();
    }
    // The known hosts still serve, and the truncated line had no effect.
    client.send(get());
    TestConnection host = world.a.accept();
    serve(client, host);
    TestConnection watch = world.discovery.accept();
    CHECK(watch.read_until("\r\n").find("index=4 ") != std::string::npos);
    watch.read_until("\r\n\r\n");
    watch.send(opened + chunk(whole + "\n") + chunk(whole + "\n"));
    watch.send(chunk(list(2, true, "") + "\n"));
    CHECK(logged(world, "warning discovery: a list of revision 2, older than 5: left out"));
    // The idle connection is still in use.
    client.send(get("2"));
    serve(client, host);
    CHECK(!world.a.has_connection(20));
    // Without hosts the request is answered once, within its deadline; service resumes with the next host.
    watch.send(chunk(list(6, true, "") + "\n"));
    CHECK(host.ended());
    client.send(get("3", "worth", "0.3"));
    CHECK(status(client.read_message()) == 503);
    CHECK(client.silent(20));
    watch.send(chunk(list(7, false, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "told revision 7"));
    client.send(get("4"));
    TestConnection other = world.b.accept();
    serve(client, other);
}

TEST_CASE(
    "without an initial list: requests are refused in time until a list arrives, and discovery is not "
    "flooded") {
    World world;
    world.known = "null";
    world.start();
    TestConnection client = world.client();
    client.send(get("1", "worth", "0.3"));
    CHECK(status(client.read_message()) == 503);
    // Every watch is refused at once. The random backoff is below 78 ms, then doubles up to 1.25 s; with
    // means of 39, 78, 156, 312 and 625 ms about six watches fit into a second.
    int asks = 0;
    using namespace std::chrono;
    const auto until = steady_clock::now() + seconds(1);
    while (steady_clock::now() < until)
        if (world.discovery.has_connection(20)) {
            TestConnection watch = world.discovery.accept();
            watch.read_until("\r\n\r\n");
            watch.send(response("503 Service Unavailable"));
            ++asks;
        }
    CHECK(asks >= 1);
    CHECK(asks <= 20);
    TestConnection watch = world.discovery.accept();
    CHECK(watch.read_until("\r\n").find("index=0 ") != std::string::npos);
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
               chunk(list(1, true, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "told revision 1"));
    client.send(get("2"));
    TestConnection host = world.b.accept();
    serve(client, host);
}

TEST_CASE("a discovery whose revisions restart is accepted once it has been behind for long") {
    World world;
    world.settings = replaced(world.settings, R"("askWithin":10000.0)", R"("askWithin":200.0)");
    world.start();
    const std::string opened = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    TestConnection watch = world.discovery.accept();
    watch.read_until("\r\n\r\n");
    watch.send(opened + chunk(list(2, true, entry("b", world.b)) + "\n"));
    CHECK(logged(world, "a list of revision 2, older than 4: left out"));
    SUBCASE("a source that catches up was only late") {
        watch.send(chunk(list(5, true, entry("a", world.a)) + "\n"));
        CHECK(logged(world, "told revision 5"));
        CHECK(!world.discovery.has_connection(600));  // no second watch
    }
    SUBCASE("a source that stays behind is resynced") {
        TestConnection client = world.client();
        TestConnection anew = world.discovery.accept();
        CHECK(anew.read_until("\r\n").find("index=0 ") != std::string::npos);
        anew.read_until("\r\n\r\n");
        anew.send(opened + chunk(list(2, true, entry("b", world.b)) + "\n"));
        CHECK(logged(world, "told revision 2"));
        client.send(get());
        TestConnection host = world.b.accept();
        serve(client, host);
        CHECK(!world.a.has_connection(20));
    }
}
