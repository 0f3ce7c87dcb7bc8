// Long bodies: passed on as they come, in order, with bounded memory, and never cut so that they look whole.
#include "world.h"

using namespace dewweir::gateway::tests;

namespace {

constexpr std::size_t long_body = 8u << 20;
// What the two sides' sockets and the gateway may hold of it together, far below the body.
constexpr std::size_t most_on_the_way = 24u << 20;
constexpr std::size_t piece = 1u << 20;

std::string pattern(std::size_t size) {
    std::string text(size, ' ');
    for (std::size_t n = 0; n < size; ++n) text[n] = static_cast<char>('a' + n % 23);
    return text;
}

}  // namespace

TEST_CASE("A long request body passes whole, by length and in chunks") {
    World world;
    const std::string body = pattern(long_body);
    Peer& client = world.connect();
    SECTION("by length") {
        client.send(post("a1", body));
        Peer& host = world.host(0);
        REQUIRE(
            world.until([&] { return host.received_bytes > body.size() && host.received.ends_with(body); }));
        CHECK(host.received.find("\r\n\r\n") + 4 + body.size() == host.received.size());
    }
    SECTION("in chunks") {
        client.send(head_of("POST", "/write/x", "a1") + "Transfer-Encoding: chunked\r\n\r\n800000\r\n" +
                    body + "\r\n0\r\n\r\n");
        Peer& host = world.host(0);
        REQUIRE(world.until([&] { return host.received.ends_with("\r\n0\r\n\r\n"); }));
        CHECK(host.received_bytes > long_body);
    }
    world.host(0).send(answer("200 OK", "a1", "taken"));
    world.client_has(client, "taken");
}

TEST_CASE("A host that does not read stops its client") {
    World world;
    Peer& client = world.connect();
    const std::string body = pattern(64u << 20);
    client.send(head_of("POST", "/write/x", "a1") + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n");
    client.send(body.substr(0, 100000));
    Peer& host = world.host(0);
    host.pause();
    host.keep = false;
    for (std::size_t at = 100000; at < body.size(); at += piece) client.send(body.substr(at, piece));
    world.settle();
    CHECK(client.unsent() * piece > body.size() - most_on_the_way);
    host.read_on();
    REQUIRE(world.until([&] { return host.received_bytes > body.size(); }));
    host.send(answer("200 OK", "a1", "taken"));
    world.client_has(client, "taken");
}

TEST_CASE("A long answer passes whole to a client that reads late, by length and in chunks") {
    World world;
    const std::string body = pattern(long_body);
    Peer& client = world.connect();
    client.send(get("a1"));
    Peer& host = world.host_has("a1");
    client.pause();
    const bool in_chunks = GENERATE(false, true);
    if (in_chunks) {
        host.send(answer_head("200 OK", "a1") + "Transfer-Encoding: chunked\r\n\r\n800000\r\n" + body +
                  "\r\n0\r\n\r\n");
    } else {
        host.send(answer("200 OK", "a1", body, "Connection: close\r\n"));
    }
    client.read_on();
    REQUIRE(world.until([&] { return client.received_bytes > long_body; }));
    if (in_chunks) {
        REQUIRE(world.until([&] { return client.received.ends_with("\r\n0\r\n\r\n"); }));
    } else {
        host.close();
        CHECK(client.received.ends_with(body));
    }
    client.send(get("a2"));
    world.host_has("a2", in_chunks ? 0 : 1);
}

TEST_CASE("A connection that is finishing sends all it has to a slow peer") {
    // Longer than a peer is given to close once it has everything.
    constexpr dewweir::Time longer_than_linger = 11000;
    class Silent : public dewweir::net::ConnectionHandler {
        void received(dewweir::net::Handle, std::uint32_t) override {}
        void ended(dewweir::net::Handle, std::uint32_t) override {}
    };
    World world;
    Silent user;
    asio::ip::tcp::acceptor acceptor(world.loop().io(), {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::tcp::socket near(world.loop().io());
    near.connect(acceptor.local_endpoint());
    near.set_option(asio::socket_base::send_buffer_size(65536));
    Peer slow(acceptor.accept());
    slow.pause();
    auto& connections = world.loop().connections();
    const dewweir::net::Handle handle = connections.adopt(std::move(near), user, 0);
    connections.send(handle, {pattern(piece)});
    connections.close_gracefully(handle);
    bool lingered = false;
    world.loop().deadlines().after(longer_than_linger, [&] { lingered = true; });
    REQUIRE(world.until([&] { return lingered; }));
    slow.read_on();
    world.client_ends(slow);
    CHECK_FALSE(slow.was_reset);
    CHECK(slow.received_bytes == piece);
    REQUIRE(world.until([&] { return connections.closing() == 0; }));
}

TEST_CASE("A client that does not read stops its host") {
    World world;
    const std::string body = pattern(64u << 20);
    Peer& client = world.connect();
    client.send(get("a1"));
    client.pause();
    client.keep = false;
    Peer& host = world.host_has("a1");
    host.send(answer_head("200 OK", "a1") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    for (std::size_t at = 0; at < body.size(); at += piece) host.send(body.substr(at, piece));
    world.settle();
    CHECK(host.unsent() * piece > body.size() - most_on_the_way);
    client.read_on();
    REQUIRE(world.until([&] { return client.received_bytes > body.size(); }));
}

TEST_CASE("A long answer that breaks resets its client's connection") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1"));
    Peer& host = world.host_has("a1");
    host.send(answer_head("200 OK", "a1") + "Transfer-Encoding: chunked\r\n\r\n30000\r\n" + pattern(196608));
    world.client_has(client, "seal-a1");
    host.close();
    world.client_ends(client);
    CHECK(client.was_reset);
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.count("HTTP/1.1 ") == 1);
}

TEST_CASE("A mutating request whose client leaves in the middle of a long answer goes on to its end") {
    World world;
    const std::string body = pattern(long_body);
    Peer& client = world.connect();
    client.send(post("a1", "hello"));
    Peer& host = world.host_has("hello");
    host.send(answer_head("200 OK", "a1") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body.substr(0, body.size() / 2));
    world.client_has(client, "seal-a1");
    client.reset();
    REQUIRE(world.until([&] { return host.unsent() == 0; }));
    host.send(body.substr(body.size() / 2));
    REQUIRE(world.until([&] { return host.unsent() == 0 && world.proxy().open_requests() == 0; }));
    CHECK_FALSE(host.ended);
}

TEST_CASE("A client that leaves in the middle of its body ends the attempt at once") {
    World world;
    Peer& client = world.connect();
    client.send(head_of("POST", "/write/x", "a1") + "Content-Length: 200000\r\n\r\n" + pattern(100000));
    Peer& host = world.host(0);
    REQUIRE(world.until([&] { return host.received_bytes > 70000; }));
    client.reset();
    REQUIRE(world.until([&] { return host.ended; }));
    REQUIRE(world.until([&] { return world.proxy().open_requests() == 0; }));
}

TEST_CASE("A request whose time is up in the middle of its answer is cut, not answered twice") {
    World world;
    Peer& client = world.connect();
    client.send(get("a1", "X-Time-Left-Ms: 300\r\n"));
    Peer& host = world.host_has("a1");
    host.send(answer_head("200 OK", "a1") + "Content-Length: 300000\r\n\r\n" + pattern(200000));
    world.client_ends(client);
    CHECK(client.was_reset);
    CHECK(client.count("HTTP/1.1 ") == 1);
}
