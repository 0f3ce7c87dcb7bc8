// A gateway process among stub servers, and the messages that all socket tests use.
#pragma once

#include "../stand_ins.h"

inline std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const std::size_t at = text.find(what);
    REQUIRE(at != text.npos);
    return text.replace(at, what.size(), by);
}

inline std::string entry(const std::string& id, const StubServer& host,
                         const std::string& phase = "in_service") {
    return R"({"id":")" + id + R"(","host_port":")" + host.address() +
           R"(","locality":"a","flavor":"m","cell":1,"phase":")" + phase + R"(","size":1.0,"up_since_ms":0})";
}

inline std::string list(int revision, bool whole, const std::string& entries) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (whole ? "true" : "false") +
           R"(,"members":[)" + entries + "]}";
}

// A gateway with stub servers: host `a` is in its initial list, `b` is not, and discovery accepts connections
// and stays silent. `place` reserves the gateway's listen port without listening on it.
struct World {
    StubServer place{false}, discovery, counter, a, b;
    std::string settings =
        R"({"step":2.0,"az":0,"fleetSize":1,"discovery":"push","dcs":["a"],
"limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":2000.0,"dialTimeout":250.0,"idleClose":15000.0},
"specifics":{"counter":false,"countLimit":1000.0,"largest":1},
"contract":{"fall":3000.0,"fallMultiple":2.5,"coldFrom":0.2,"warmAfter":15000.0,"askWithin":10000.0,"stopSendingWithin":1000.0},
"profiles":[{"name":"read","goalTime":8000.0,"hardLimit":9000.0,"idempotency":"retryable","keyScope":"all","dedupWindow":5000.0},
{"name":"book","goalTime":8000.0,"hardLimit":9000.0,"idempotency":"fragile","keyScope":"all","dedupWindow":5000.0}],
"contracts":[{"name":"worth","rate":1.0,"mostAtOnce":1000.0,"extraWorth":0.0,"overrunCost":0.5},
{"name":"small","rate":0.5,"mostAtOnce":1.0,"extraWorth":0.0,"overrunCost":0.5}]})";
    std::string known = list(4, true, entry("a", a));
    int sockets = 256;
    std::unique_ptr<GatewayProcess> gateway;

    std::string configuration() const {
        return R"({"name":"n1","listen":")" + place.address() + R"(","discovery":")" + discovery.address() +
               R"(","counter":")" + counter.address() +
               R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" + std::to_string(sockets) +
               R"(},"known":)" + known + R"(,"settings":)" + settings + "}";
    }
    void start() {
        gateway = std::make_unique<GatewayProcess>(configuration());
        // Connects again until the gateway listens.
        for (int waited = 0;; waited += 5) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at = TestConnection::address(place.port);
            const bool up = connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            TestConnection line(fd);
            if (up) {
                line.send("GET /health/ready HTTP/1.1\r\n\r\n");
                CHECK(line.read_message().find("HTTP/1.1 200 ") == 0);
                return;
            }
            REQUIRE_MESSAGE(waited < timeout_ms, "it does not come up: " << gateway->log());
            poll(nullptr, 0, 5);
        }
    }
    void with_counter() { settings = replaced(settings, R"("counter":false)", R"("counter":true)"); }
    // Gives the plan `small` a quota window of slightly over 20 s that has just begun, so that no window ends
    // during a test. Returns the lifetime of its counter names in ms, as sent to the counter.
    std::string window_just_begun() {
        using namespace std::chrono;
        const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
        std::int64_t window = 20000;
        while (now % window > window / 8) ++window;
        std::ostringstream rate;
        rate.precision(17);
        rate << 1000.0 / static_cast<double>(window);
        settings = replaced(settings, R"("rate":0.5)", R"("rate":)" + rate.str());
        return std::to_string(2 * window);
    }
    TestConnection client() { return TestConnection::to(place.port); }
};

inline std::string get(const std::string& id = "1", const std::string& plan = "worth",
                       const std::string& deadline = "9.0") {
    return "GET /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id +
           "\r\nX-Class: read\r\nX-Contract: " + plan +
           "\r\nX-Client-Id: 00000000b4d65521\r\nX-Deadline: " + deadline +
           "\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n";
}
// A non-idempotent request with a body.
inline std::string book(const std::string& body = "{}") {
    return replaced(replaced(replaced(get(), "GET", "POST"), "X-Class: read", "X-Class: book"), "\r\n\r\n",
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}
inline std::string response(const std::string& status, const std::string& body = "",
                            const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
inline int status(const std::string& answer) { return std::atoi(answer.substr(9, 3).c_str()); }
// The host answers the request, and the client receives the response.
inline void serve(TestConnection& client, TestConnection& host, const std::string& body = "") {
    host.read_message();
    host.send(response("200 OK", body));
    CHECK(status(client.read_message()) == 200);
}
inline std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}
inline bool logged(const World& world, const std::string& what) {
    for (int waited = 0; waited < timeout_ms; waited += 5) {
        if (world.gateway->log().find(what) != std::string::npos) return true;
        poll(nullptr, 0, 5);
    }
    return false;
}
