// Gateway process over loopback: client connections, valid and invalid requests, limits of connections.
#include "world.h"

TEST_CASE("when a client disconnects, its attempt is cancelled and nothing more is sent") {
    World world;
    world.start();
    TestConnection client = world.client();
    client.send(get());
    TestConnection host = world.a.accept();
    host.read_message();
    client.close();
    CHECK(host.ended());
    CHECK(!world.a.has_connection(50));
}

TEST_CASE("refusals carry Retry-After in seconds") {
    World world;
    world.start();
    TestConnection client = world.client();
    client.send(get("1", "small"));
    TestConnection host = world.a.accept();
    host.read_message();
    host.send(response("200 OK"));
    client.read_message();
    client.send(get("2", "small"));
    const std::string answer = client.read_message();
    CHECK(status(answer) == 503);
    const std::size_t at = answer.find("Retry-After: ");
    REQUIRE(at != answer.npos);
    CHECK(std::atof(&answer[at + 13]) > 0.1);
    CHECK(std::atof(&answer[at + 13]) <= 2);
}

TEST_CASE("bad requests get a plain 4xx and reach no host") {
    World world;
    world.start();
    const auto refused = [&](const std::string& request) {
        TestConnection client = world.client();
        client.send(request);
        const std::string answer = client.read_message();
        CHECK_MESSAGE(status(answer) / 100 == 4, request << " got " << answer);
        return status(answer);
    };
    for (const char* field :
         {"X-Request-Id", "X-Class", "X-Contract", "X-Client-Id", "X-Deadline", "X-Metering"})
        refused(replaced(get(), std::string(field) + ": ", "X-Other: "));
    refused(replaced(get(), "X-Class: read", "X-Class: write"));
    refused(replaced(get(), "X-Contract: worth", "X-Contract: benefit"));
    refused(replaced(get(), "00000000b4d65521", "0000000200000000"));  // 2^33
    refused(replaced(get(), "00000000b4d65521", "b4d65521"));
    for (const char* limit : {"soon", "-1", "0", "nan", "1e9", "4s"}) refused(get("1", "worth", limit));
    for (const char* set :
         {"units=-1,spread=1,first=0", "units=2,spread=1,first=0", "units=1,spread=0,first=0",
          "units=1,spread=2,first=0", "units=1,spread=1.5,first=0", "units=1,spread=1,first=1",
          "units=1,spread=1,first=", "units=1,spread=1", "units=1,spread=1,first=0,units=1"})
        refused(replaced(get(), "units=1,spread=1,first=0", set));
    refused(replaced(get(), "X-Deadline: 9.0", "X-Deadline: 9.0\r\nX-Deadline: 8.0"));
    refused(replaced(get(), "X-Class: read", "X-Class: book"));
    refused(replaced(book(), "X-Class: book", "X-Class: read"));
    refused(replaced(get(), "\r\n\r\n", "\r\nContent-Length: 2\r\n\r\n{}"));
    CHECK(refused(replaced(get(), "GET", "DELETE")) == 405);
    CHECK(refused(replaced(book(""), "Content-Length: 0", "Transfer-Encoding: chunked") + "0\r\n\r\n") ==
          411);
    CHECK(refused(replaced(book(""), "Content-Length: 0", "Content-Length: 65537")) == 413);
    refused(replaced(book(""), "Content-Length: 0", "Content-Length: many"));
    refused(replaced(book(""), "Content-Length: 0", "Content-Length: 2\r\nContent-Length: 3"));
    CHECK(refused(replaced(get(), "Host: app.svc", "Host: " + std::string(20000, 'a'))) == 431);
    refused("this is no HTTP\r\n\r\n");
    // A message with two framings may smuggle a request: nothing more is read on its connection.
    TestConnection hidden = world.client();
    hidden.send(replaced(book(""), "Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked") +
                "0\r\n\r\n" + get("hidden"));
    CHECK(status(hidden.read_message()) / 100 == 4);
    CHECK(hidden.ended());
    CHECK(!world.a.has_connection(20));
    // A well-formed but invalid request keeps its connection.
    TestConnection client = world.client();
    client.send(replaced(get(), "X-Class: read", "X-Class: write") + get("good"));
    CHECK(status(client.read_message()) == 400);
    TestConnection host = world.a.accept();
    serve(client, host);
}

TEST_CASE("a request id that is open is refused a second time and can be reused once it is answered") {
    World world;
    world.start();
    TestConnection client = world.client(), other = world.client();
    client.send(get("same"));
    TestConnection host = world.a.accept();
    host.read_message();
    other.send(get("same"));
    CHECK(status(other.read_message()) == 409);
    host.send(response("200 OK"));
    CHECK(status(client.read_message()) == 200);
    other.send(get("same"));
    serve(other, host);
}

TEST_CASE("clients without a complete message are disconnected within 3 s, idle ones not before 2 s") {
    World world;
    world.start();
    const auto began = std::chrono::steady_clock::now();
    const auto passed = [&] { return std::chrono::steady_clock::now() - began; };
    TestConnection silent = world.client(), half = world.client(), asked = world.client(),
                   large = world.client();
    half.send(get().substr(0, 60));
    large.send(replaced(book(""), "Content-Length: 0", "Content-Length: 60000000") +
               std::string(300000, 'x'));
    CHECK(status(large.read_message()) == 413);
    asked.send(get());
    TestConnection host = world.a.accept();
    serve(asked, host);
    CHECK(silent.ended());
    CHECK(passed() < std::chrono::milliseconds(2900));
    CHECK(status(half.read_message()) == 408);
    CHECK(half.ended());
    CHECK(passed() < std::chrono::milliseconds(2900));
    CHECK(asked.ended());
    CHECK(passed() > std::chrono::milliseconds(2000));
}

TEST_CASE("with many idle keep-alive connections, idle ones are closed sooner") {
    World world;
    world.sockets = 120;  // of which clients hold 40
    world.start();
    std::vector<TestConnection> stay;
    for (int n = 0; n < 25; ++n) {
        stay.push_back(world.client());
        stay.back().send(get(std::to_string(n)));
        if (n == 0) stay.push_back(world.a.accept());
        serve(stay[n ? n + 1 : 0], stay[1]);
    }
    const auto began = std::chrono::steady_clock::now();
    CHECK(stay.back().ended());
    // The first one got the longer timeout, since few connections were open then.
    if (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1000)) CHECK(stay[0].silent(0));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1500));
}

TEST_CASE(
    "with more clients than descriptors, idle ones are closed first and no accepted request is dropped") {
    World world;
    world.sockets = 40;  // of which 26 are for connections, and clients leave a quarter of those
    world.start();
    rlimit few{40, 40};
    REQUIRE(prlimit(world.gateway->pid(), RLIMIT_NOFILE, &few, nullptr) == 0);
    std::vector<TestConnection> idle;
    for (int n = 0; n < 24; ++n) idle.push_back(world.client());
    TestConnection client = world.client();
    client.send(get());
    TestConnection host = world.a.accept();
    host.read_message();
    std::vector<TestConnection> crowd;
    for (int n = 0; n < 60; ++n) crowd.push_back(world.client());
    host.send(response("200 OK"));
    CHECK(status(client.read_message()) == 200);
    crowd.clear();
    TestConnection late = world.client();
    late.send(get());
    serve(late, host);
}

TEST_CASE("a client that has just connected is not closed to make room for the next one") {
    World world;
    world.sockets = 40;
    world.start();
    const auto began = std::chrono::steady_clock::now();
    std::vector<TestConnection> crowd;
    for (int n = 0; n < 24; ++n) crowd.push_back(world.client());  // more than fit
    const bool kept = crowd[0].silent(50);
    // On a machine that took this long the connection may be idle already: inconclusive.
    if (std::chrono::steady_clock::now() - began > std::chrono::milliseconds(200)) return;
    CHECK(kept);
    crowd[0].send(get());
    TestConnection host = world.a.accept();
    serve(crowd[0], host);
}
