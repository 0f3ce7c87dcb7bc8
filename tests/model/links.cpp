// Links with faults: real sockets on loopback, one end played by the test.
#include "rig/links.h"

#include <doctest/doctest.h>

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

using namespace dewweir;
using namespace dewweir::rig;
using asio::ip::tcp;

namespace {

// A server that says back what it hears, behind a link.
struct Echo : net::ConnectionHandler {
    Loop loop{256};
    net::Slots<net::Handle> ways;
    Door door{loop, loopback(), [this](tcp::socket socket) {
                  const std::uint32_t mark = ways.add(net::Handle{0});
                  *ways.find(mark) = loop.connections.adopt(std::move(socket), *this, mark);
              }};
    Links links{loop, 7};
    Link& link = links.add("gateway-1", "counter", door.address());

    void received(net::Handle connection, std::uint32_t) override {
        net::Ring& in = loop.connections.in(connection);
        std::string bytes;
        for (const std::string_view part : in.filled()) bytes += part;
        in.consume(bytes.size());
        loop.connections.send(connection, {bytes});
    }
    void ended(net::Handle, std::uint32_t mark) override { ways.remove(mark); }

    // Lets the rig run until that holds, or 5 s have passed.
    template <class What> bool until(What what, int most_ms = 5000) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(most_ms);
        while (!what()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop.deadlines.update_now();
            loop.deadlines.run_due();
            loop.io.run_one_for(std::chrono::milliseconds(2));
            loop.io.restart();
        }
        return true;
    }
};

struct Caller {
    explicit Caller(Echo& e) : echo(e), socket(e.loop.io) {
        socket.open(tcp::v4());
        socket.non_blocking(true);
        // Asio's own connect would wait for an answer.
        static_cast<void>(::connect(socket.native_handle(), echo.link.address().data(),
                                    static_cast<socklen_t>(echo.link.address().size())));
    }
    bool up() {
        pollfd asked{socket.native_handle(), POLLOUT, 0};
        return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) &&
               !(asked.revents & (POLLERR | POLLHUP));
    }
    void say(const std::string& text) {
        std::error_code ignored;
        socket.write_some(asio::buffer(text), ignored);
    }
    // What has come so far; `ended` gets what ended it.
    std::string heard() {
        char buffer[4096];
        std::error_code fault;
        const std::size_t n = socket.read_some(asio::buffer(buffer), fault);
        if (fault && fault != asio::error::would_block) ended = fault;
        return all.append(buffer, n);
    }
    Echo& echo;
    tcp::socket socket;
    std::string all;
    std::error_code ended;
};

}  // namespace

TEST_CASE("a link carries bytes both ways, and ends with either end") {
    Echo echo;
    Caller caller(echo);
    REQUIRE(echo.until([&] { return caller.up(); }));
    caller.say("hello");
    CHECK(echo.until([&] { return caller.heard() == "hello"; }));
    CHECK(echo.link.counts().there == 5);
    CHECK(echo.link.counts().back == 5);
    caller.socket.close();
    CHECK(echo.until([&] { return echo.ways.size() == 0; }));
}

TEST_CASE("cut: what stands is reset, what comes is refused, and it heals") {
    Echo echo;
    Caller caller(echo);
    caller.say("a");
    REQUIRE(echo.until([&] { return caller.heard() == "a"; }));
    echo.link.cut(true);
    CHECK(echo.until([&] { return caller.heard(), caller.ended == asio::error::connection_reset; }));
    Caller refused(echo);
    CHECK_FALSE(refused.up());
    CHECK(echo.until([&] { return echo.ways.size() == 0; }));
    echo.link.cut(false);
    Caller again(echo);
    again.say("b");
    CHECK(echo.until([&] { return again.heard() == "b"; }));
    CHECK(echo.link.counts().reset == 1);
}

TEST_CASE("silence: one way or both, nobody comes up, and all that was held arrives in order") {
    Echo echo;
    Caller caller(echo);
    caller.say("1");
    REQUIRE(echo.until([&] { return caller.heard() == "1"; }));
    SUBCASE("back alone: the server hears, the caller does not") {
        echo.link.silence(Way::back, true);
        caller.say("2");
        CHECK(echo.until([&] { return echo.link.counts().there == 2 && echo.link.counts().back == 2; }));
        CHECK_FALSE(echo.until([&] { return caller.heard() != "1"; }, 50));
        echo.link.silence(Way::back, false);
        CHECK(echo.until([&] { return caller.heard() == "12"; }));
    }
    SUBCASE("both ways, and a handshake that comes to no end") {
        echo.link.silence(Way::both, true);
        caller.say("2");
        Caller late(echo);
        CHECK_FALSE(echo.until([&] { return late.up() || caller.heard() != "1"; }, 100));
        const std::size_t there = echo.ways.size();
        echo.link.silence(Way::both, false);
        caller.say("3");
        CHECK(echo.until([&] { return caller.heard() == "123"; }));
        CHECK(echo.until([&] { return late.up(); }));  // its handshake is tried again by the system
        late.say("x");
        CHECK(echo.until([&] { return late.heard() == "x"; }));
        CHECK(echo.ways.size() == there + 1);  // what filled the line reached nobody
    }
    SUBCASE("who leaves a silent link is gone at the other end at once") {
        echo.link.silence(Way::both, true);
        caller.socket.close();
        CHECK(echo.until([&] { return echo.ways.size() == 0; }));
    }
}

TEST_CASE("delay, throttling and a break after so many bytes") {
    Echo echo;
    Caller caller(echo);
    caller.say("1");
    REQUIRE(echo.until([&] { return caller.heard() == "1"; }));
    const auto began = std::chrono::steady_clock::now();
    const auto passed = [&] { return std::chrono::steady_clock::now() - began; };
    SUBCASE("delay with jitter: each way, in order") {
        echo.link.delay(300, 200);  // 30 to 50 ms
        for (char c = 'a'; c <= 'e'; ++c) {
            caller.say(std::string(1, c));
            echo.until([] { return false; }, 3);
        }
        CHECK(echo.until([&] { return caller.heard() == "1abcde"; }));
        CHECK(passed() >= std::chrono::milliseconds(60));
        CHECK(echo.link.counts().late > 0);
    }
    SUBCASE("throttling") {
        echo.link.throttle(20000);
        caller.say(std::string(2000, 'x'));  // 100 ms each way
        CHECK(echo.until([&] { return caller.heard().size() == 2001; }));
        CHECK(passed() >= std::chrono::milliseconds(200));
    }
    SUBCASE("a break, of connections that stand too") {
        echo.link.break_after(10);
        caller.say("0123456789abc");
        CHECK(echo.until([&] { return caller.heard(), caller.ended == asio::error::connection_reset; }));
        CHECK(echo.link.counts().broken == 1);
        CHECK(echo.link.counts().dropped >= 3);
        echo.link.break_after(-1);
        Caller whole(echo);
        whole.say("0123456789abc");
        CHECK(echo.until([&] { return whole.heard() == "0123456789abc"; }));
    }
}

TEST_CASE("datagrams: lost, doubled, overtaken, silenced one way; a stranger's are not carried") {
    Echo echo;
    DatagramLink& link = echo.links.add_datagrams("gateway-1", "gateway-2");
    const auto here = [&] {
        udp::socket one(echo.loop.io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
        one.non_blocking(true);
        return one;
    };
    udp::socket a = here(), b = here(), stranger = here();
    link.join(a.local_endpoint(), b.local_endpoint());
    std::vector<int> got;
    udp::endpoint from;
    const auto drained = [&](udp::socket& at, std::size_t wanted, int most_ms) {
        return echo.until(
            [&] {
                char byte[8];
                std::error_code none;
                while (at.receive_from(asio::buffer(byte), from, 0, none) > 0 && !none)
                    got.push_back(byte[0]);
                return got.size() >= wanted;
            },
            most_ms);
    };
    const auto send = [&](udp::socket& by, const udp::endpoint& to, int n) {
        for (char c = 0; c < n; ++c) by.send_to(asio::buffer(&c, 1), to);
    };
    SUBCASE("well: from the address by which the other knows it, both ways") {
        send(a, link.near_a(), 3);
        CHECK(drained(b, 3, 5000));
        CHECK(from == link.near_b());
        got.clear();
        send(b, link.near_b(), 2);
        CHECK(drained(a, 2, 5000));
        CHECK(from == link.near_a());
        send(stranger, link.near_a(), 2);
        CHECK_FALSE(drained(b, 3, 50));
    }
    SUBCASE("a part lost, the same for the same seed") {
        link.faults.loss = 0.4;
        send(a, link.near_a(), 100);
        CHECK_FALSE(drained(b, 100, 100));
        CHECK(link.counts().lost == 100 - got.size());
        CHECK(got.size() > 40);
        CHECK(got.size() < 80);
    }
    SUBCASE("doubled and overtaken") {
        link.faults.duplicates = 1, link.faults.reordered = 0.5;
        send(a, link.near_a(), 20);
        CHECK(drained(b, 40, 5000));
        CHECK_FALSE(std::is_sorted(got.begin(), got.end()));
        CHECK(link.counts().doubled == 20);
    }
    SUBCASE("silenced one way") {
        link.faults.silent_there = true;
        send(a, link.near_a(), 5);
        CHECK_FALSE(drained(b, 1, 50));
        CHECK(link.counts().silenced == 5);
        send(b, link.near_b(), 5);
        CHECK(drained(a, 5, 5000));
    }
}

TEST_CASE("a script names links by patterns and sets, and what cannot befall one is said") {
    const std::vector<std::string> there = {"gateway-1",
                                            "gateway-2",
                                            "counter",
                                            "gateway-1 > counter",
                                            "gateway-2 > counter",
                                            "gateway-1 > host-1",
                                            "clients > gateway-1",
                                            "gateway-1 > gateway-2"};
    const auto script = parse_script(
        "[[set]]\nname = \"branch\"\nmembers = [\"gateway-1\", \"gateway-2\"]\n"
        "[[trouble]]\nat = \"1s\"\nwhat = \"silence\"\nwhom = \"branch > counter\"\nway = \"back\"\n"
        "[[trouble]]\nat = \"2s\"\nwhat = \"delay\"\nwhom = \"gateway-1 > host-*\"\namount = 5\njitter = "
        "\"2ms\"\n"
        "[[trouble]]\nat = \"3s\"\nwhat = \"kill\"\nwhom = \"branch\"\n",
        "s.toml", there);
    REQUIRE(script.size() == 3);
    CHECK(script[0].whoms == std::vector<std::string>{"gateway-1 > counter", "gateway-2 > counter"});
    CHECK(script[0].way == Way::back);
    CHECK(script[1].whoms == std::vector<std::string>{"gateway-1 > host-1"});
    CHECK(script[1].jitter == 20);
    CHECK(script[2].whoms.size() == 2);
    const auto wrong = [&](const std::string& text) {
        try {
            parse_script("[[trouble]]\nat = \"1s\"\n" + text, "s.toml", there);
        } catch (const errors::BadFile& fault) { return std::string(fault.what()); }
        return std::string("none");
    };
    const auto says = [](const std::string& text, const std::string& part) {
        CHECK_MESSAGE(text.find(part) != text.npos, text);
    };
    says(wrong("what = \"cut\"\nwhom = \"gateway-3 > counter\"\n"),
         "names nobody: gateway-3 > counter; did you");
    says(wrong("what = \"lose\"\nwhom = \"gateway-1 > counter\"\namount = 0.1\n"), "lose cannot befall");
    says(wrong("what = \"silence\"\nwhom = \"gateway-1 > *\"\n"), "and the others alike");
    says(wrong("what = \"cut\"\nwhom = \"gateway-1 > counter\"\nway = \"back\"\n"), "way: cut takes none");
    says(wrong("what = \"absent\"\nwhom = \"gateway-1\"\n"), "must be 0s");
}
