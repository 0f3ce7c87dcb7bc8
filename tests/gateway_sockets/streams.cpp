// Long bodies are streamed in order and with bounded memory, and a truncated one never looks complete.
#include "harness.h"

using namespace dewweir::gateway::tests;

namespace {

constexpr std::size_t long_body = 8u << 20;
// Most bytes that both sides' sockets and the gateway may buffer together, far less than the body.
constexpr std::size_t max_buffered_bytes = 24u << 20;
constexpr std::size_t part_size = 1u << 20;

std::string pattern(std::size_t size) {
    std::string text(size, ' ');
    for (std::size_t n = 0; n < size; ++n) text[n] = static_cast<char>('a' + n % 23);
    return text;
}

}  // namespace

TEST_CASE("A long request body passes completely, with Content-Length and chunked") {
    GatewayHarness harness;
    const std::string body = pattern(long_body);
    Peer& client = harness.connect();
    SECTION("by length") {
        client.send(post("a1", body));
        Peer& host = harness.host(0);
        REQUIRE(harness.run_until(
            [&] { return host.received_bytes > body.size() && host.received.ends_with(body); }));
        CHECK(host.received.find("\r\n\r\n") + 4 + body.size() == host.received.size());
    }
    SECTION("in chunks") {
        client.send(request_head("POST", "/write/x", "a1") + "Transfer-Encoding: chunked\r\n\r\n800000\r\n" +
                    body + "\r\n0\r\n\r\n");
        Peer& host = harness.host(0);
        REQUIRE(harness.run_until([&] { return host.received.ends_with("\r\n0\r\n\r\n"); }));
        CHECK(host.received_bytes > long_body);
    }
    harness.host(0).send(response("200 OK", "a1", "taken"));
    harness.await_client(client, "taken");
}

TEST_CASE("A host that does not read stops reading from the client") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    const std::string body = pattern(64u << 20);
    client.send(request_head("POST", "/write/x", "a1") + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n");
    client.send(body.substr(0, 100000));
    Peer& host = harness.host(0);
    host.pause();
    host.keep_received = false;
    for (std::size_t at = 100000; at < body.size(); at += part_size) client.send(body.substr(at, part_size));
    harness.settle();
    CHECK(client.unsent() * part_size > body.size() - max_buffered_bytes);
    host.resume();
    REQUIRE(harness.run_until([&] { return host.received_bytes > body.size(); }));
    host.send(response("200 OK", "a1", "taken"));
    harness.await_client(client, "taken");
}

TEST_CASE("A long response passes completely to a client that reads late, with Content-Length and chunked") {
    GatewayHarness harness;
    const std::string body = pattern(long_body);
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    client.pause();
    const bool in_chunks = GENERATE(false, true);
    if (in_chunks) {
        host.send(response_head("200 OK", "a1") + "Transfer-Encoding: chunked\r\n\r\n800000\r\n" + body +
                  "\r\n0\r\n\r\n");
    } else {
        host.send(response("200 OK", "a1", body, "Connection: close\r\n"));
    }
    client.resume();
    REQUIRE(harness.run_until([&] { return client.received_bytes > long_body; }));
    if (in_chunks) {
        REQUIRE(harness.run_until([&] { return client.received.ends_with("\r\n0\r\n\r\n"); }));
    } else {
        host.close();
        CHECK(client.received.ends_with(body));
    }
    client.send(get("a2"));
    harness.await_host("a2", in_chunks ? 0 : 1);
}

TEST_CASE("A finishing connection sends all its data to a slow peer") {
    // Longer than a peer that has received everything is given to close.
    constexpr dewweir::Time longer_than_linger = 11000;
    class IgnoringUser : public dewweir::net::ConnectionHandler {
        void received(dewweir::net::Handle, std::uint32_t) override {}
        void ended(dewweir::net::Handle, std::uint32_t) override {}
    };
    GatewayHarness harness;
    IgnoringUser user;
    asio::ip::tcp::acceptor acceptor(harness.loop().io(), {asio::ip::make_address_v4("127.0.0.1"), 0});
    asio::ip::tcp::socket near(harness.loop().io());
    near.connect(acceptor.local_endpoint());
    near.set_option(asio::socket_base::send_buffer_size(65536));
    Peer slow(acceptor.accept());
    slow.pause();
    auto& connections = harness.loop().connections();
    const dewweir::net::Handle handle = connections.adopt(std::move(near), user, 0);
    connections.send(handle, {pattern(part_size)});
    connections.close_gracefully(handle);
    bool lingered = false;
    harness.loop().deadlines().after(longer_than_linger, [&] { lingered = true; });
    REQUIRE(harness.run_until([&] { return lingered; }));
    slow.resume();
    harness.await_client_close(slow);
    CHECK_FALSE(slow.was_reset);
    CHECK(slow.received_bytes == part_size);
    REQUIRE(harness.run_until([&] { return connections.closing() == 0; }));
}

TEST_CASE("A client that does not read stops reading from the host") {
    GatewayHarness harness;
    const std::string body = pattern(64u << 20);
    Peer& client = harness.connect();
    client.send(get("a1"));
    client.pause();
    client.keep_received = false;
    Peer& host = harness.await_host("a1");
    host.send(response_head("200 OK", "a1") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    for (std::size_t at = 0; at < body.size(); at += part_size) host.send(body.substr(at, part_size));
    harness.settle();
    CHECK(host.unsent() * part_size > body.size() - max_buffered_bytes);
    client.resume();
    REQUIRE(harness.run_until([&] { return client.received_bytes > body.size(); }));
}

TEST_CASE("A broken long response resets the client's connection") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1"));
    Peer& host = harness.await_host("a1");
    host.send(response_head("200 OK", "a1") + "Transfer-Encoding: chunked\r\n\r\n30000\r\n" +
              pattern(196608));
    harness.await_client(client, "seal-a1");
    host.close();
    harness.await_client_close(client);
    CHECK(client.was_reset);
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.count("HTTP/1.1 ") == 1);
}

TEST_CASE("A mutating request is completed when its client disconnects during a long response") {
    GatewayHarness harness;
    const std::string body = pattern(long_body);
    Peer& client = harness.connect();
    client.send(post("a1", "hello"));
    Peer& host = harness.await_host("hello");
    host.send(response_head("200 OK", "a1") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body.substr(0, body.size() / 2));
    harness.await_client(client, "seal-a1");
    client.reset();
    REQUIRE(harness.run_until([&] { return host.unsent() == 0; }));
    host.send(body.substr(body.size() / 2));
    REQUIRE(harness.run_until([&] { return host.unsent() == 0 && harness.proxy().open_requests() == 0; }));
    CHECK_FALSE(host.ended);
}

TEST_CASE("The attempt ends at once when its client disconnects during the request body") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(request_head("POST", "/write/x", "a1") + "Content-Length: 200000\r\n\r\n" + pattern(100000));
    Peer& host = harness.host(0);
    REQUIRE(harness.run_until([&] { return host.received_bytes > 70000; }));
    client.reset();
    REQUIRE(harness.run_until([&] { return host.ended; }));
    REQUIRE(harness.run_until([&] { return harness.proxy().open_requests() == 0; }));
}

TEST_CASE("A request that times out during its response is reset, not answered twice") {
    GatewayHarness harness;
    Peer& client = harness.connect();
    client.send(get("a1", "X-Time-Left-Ms: 300\r\n"));
    Peer& host = harness.await_host("a1");
    host.send(response_head("200 OK", "a1") + "Content-Length: 300000\r\n\r\n" + pattern(200000));
    harness.await_client_close(client);
    CHECK(client.was_reset);
    CHECK(client.count("HTTP/1.1 ") == 1);
}
