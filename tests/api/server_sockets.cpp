// The server of calls on real sockets: an answer belongs to one request of one connection.
#include <catch2/catch.hpp>

#include "api/server.h"
#include "gateway_sockets/peer.h"

using namespace dewweir;
using namespace dewweir::api;
using dewweir::gateway::tests::Peer;

namespace {

constexpr std::chrono::seconds patience{5};
constexpr std::uint16_t first_port = 34100;
constexpr std::uint16_t last_port = 34900;
constexpr std::size_t most_body = 1 << 16;

const std::string put = "PUT /thing HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

struct Served {
    Served() : loop(64), server(loop, most_body) {
        server.declare("PUT", "/thing", [this](const Request& request, const Respond& respond) {
            bodies.push_back(request.body);
            waiting.push_back(respond);
        });
        while (port < last_port && server.listen({asio::ip::make_address_v4("127.0.0.1"), port})) ++port;
        REQUIRE(port < last_port);
    }
    ~Served() { loop.io().stop(); }

    Peer& connect() {
        asio::ip::tcp::socket socket(loop.io());
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), port});
        clients.push_back(std::make_unique<Peer>(std::move(socket)));
        return *clients.back();
    }
    bool until(const std::function<bool()>& reached) {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!reached()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        return true;
    }
    // Goes on until no socket of this process has anything to do.
    void settle() {
        constexpr int quiet_turns = 200;
        for (int quiet = 0; quiet < quiet_turns; ++quiet) {
            if (loop.io().poll() > 0) quiet = 0;
        }
    }

    runtime::EventLoop loop;
    Server server;
    std::uint16_t port = first_port;
    std::vector<std::string> bodies;
    std::vector<Respond> waiting;
    std::vector<std::unique_ptr<Peer>> clients;
};

}  // namespace

TEST_CASE("a handler that answers twice does not answer the next request of the connection") {
    Served served;
    Peer& client = served.connect();
    client.send(put);
    REQUIRE(served.until([&] { return served.waiting.size() == 1; }));
    served.waiting[0]({Status::ok, "one"});
    client.send(put);
    REQUIRE(served.until([&] { return served.waiting.size() == 2; }));
    served.waiting[0]({Status::ok, "one again"});
    served.settle();
    CHECK(client.count("HTTP/1.1 ") == 1);
    served.waiting[1]({Status::ok, "two"});
    REQUIRE(served.until([&] { return client.has("two"); }));
    CHECK_FALSE(client.has("one again"));
}

TEST_CASE("an answer that comes after the connection was reset reaches nobody") {
    Served served;
    Peer& gone = served.connect();
    gone.send(put);
    REQUIRE(served.until([&] { return served.waiting.size() == 1; }));
    gone.reset();
    served.settle();
    // The slot is taken by the next connection.
    Peer& next = served.connect();
    next.send(put);
    REQUIRE(served.until([&] { return served.waiting.size() == 2; }));
    served.waiting[0]({Status::ok, "late"});
    served.settle();
    CHECK(next.received.empty());
    served.waiting[1]({Status::ok, "own"});
    CHECK(served.until([&] { return next.has("own"); }));
}

TEST_CASE("what is open when a process ends is answered, and answered once") {
    Served served;
    Peer& first = served.connect();
    Peer& second = served.connect();
    Peer& idle = served.connect();
    first.send(put);
    second.send(put);
    REQUIRE(served.until([&] { return served.waiting.size() == 2; }));
    served.server.answer_open({Status::service_unavailable, "ends"});
    for (const Respond& respond : served.waiting) respond({Status::ok, "late"});
    REQUIRE(served.until([&] { return first.has("ends") && second.has("ends"); }));
    served.settle();
    for (const Peer* const client : {&first, &second}) {
        CHECK(client->received.starts_with("HTTP/1.1 503 "));
        CHECK(client->count("HTTP/1.1 ") == 1);
    }
    CHECK(idle.received.empty());
}

TEST_CASE("a call parted at any byte is handled once, and one that ends at any byte not at all") {
    Served served;
    for (std::size_t first = 1; first < put.size(); ++first) {
        CAPTURE(first);
        const std::size_t before = served.bodies.size();
        Peer& cut_short = served.connect();
        cut_short.send(put.substr(0, first));
        REQUIRE(served.until([&] { return cut_short.unsent() == 0; }));
        cut_short.reset();
        served.settle();
        CHECK(served.bodies.size() == before);

        Peer& client = served.connect();
        client.send(put.substr(0, first));
        served.settle();
        client.send(put.substr(first));
        REQUIRE(served.until([&] { return served.bodies.size() == before + 1; }));
        CHECK(served.bodies.back() == "body");
        served.waiting.back()({Status::ok, "done"});
        REQUIRE(served.until([&] { return client.has("done"); }));
        client.close();
        served.settle();
    }
}
