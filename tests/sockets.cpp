// Starts the real program and speaks to it over loopback, as clients, hosts, counter and discovery would.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "stand_ins.h"

namespace {

std::string replaced(std::string text, const std::string& what, const std::string& by) {
    const std::size_t at = text.find(what);
    REQUIRE(at != text.npos);
    return text.replace(at, what.size(), by);
}

std::string entry(const std::string& id, const Door& host, const std::string& phase = "in_service") {
    return R"({"id":")" + id + R"(","host_port":")" + host.address() +
           R"(","locality":"a","flavor":"m","cell":1,"phase":")" + phase + R"(","size":1.0,"up_since_ms":0})";
}

std::string list(int revision, bool whole, const std::string& entries) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (whole ? "true" : "false") +
           R"(,"members":[)" + entries + "]}";
}

// A gateway among stand-ins: hosts `a` and `b` known, discovery that lets it connect and says nothing.
struct World {
    Door place{false}, discovery, counter, a, b;
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
    std::unique_ptr<Gateway> gateway;

    std::string configuration() const {
        return R"({"name":"n1","listen":")" + place.address() + R"(","discovery":")" + discovery.address() +
               R"(","counter":")" + counter.address() +
               R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" + std::to_string(sockets) +
               R"(},"known":)" + known + R"(,"settings":)" + settings + "}";
    }
    void start() {
        gateway = std::make_unique<Gateway>(configuration());
        // Nothing listens there before it is up: tried again until it is.
        for (int waited = 0;; waited += 5) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in at = Line::address(place.port);
            const bool up = connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
            Line line(fd);
            if (up) {
                line.send("GET /health/ready HTTP/1.1\r\n\r\n");
                CHECK(line.message().find("HTTP/1.1 200 ") == 0);
                return;
            }
            REQUIRE_MESSAGE(waited < patience_ms, "it does not come up: " << gateway->log());
            poll(nullptr, 0, 5);
        }
    }
    void with_counter() { settings = replaced(settings, R"("counter":false)", R"("counter":true)"); }
    // Gives the plan `small` another window, of 20 s or a little more, that has just begun, so that none
    // turns while a test waits; gives back, as the counter is told it, how long its names live.
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
    Line client() { return Line::to(place.port); }
};

std::string get(const std::string& id = "1", const std::string& plan = "worth",
                const std::string& deadline = "9.0") {
    return "GET /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + id +
           "\r\nX-Class: read\r\nX-Contract: " + plan +
           "\r\nX-Client-Id: 00000000b4d65521\r\nX-Deadline: " + deadline +
           "\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n";
}
// Binding, so that it comes with a body.
std::string book(const std::string& body = "{}") {
    return replaced(replaced(replaced(get(), "GET", "POST"), "X-Class: read", "X-Class: book"), "\r\n\r\n",
                    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}
std::string says(const std::string& status, const std::string& body = "", const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
int status(const std::string& answer) { return std::atoi(answer.substr(9, 3).c_str()); }
// The host answers what it is asked, and the client has that answer.
void delivered(Line& client, Line& host, const std::string& body = "") {
    host.message();
    host.send(says("200 OK", body));
    CHECK(status(client.message()) == 200);
}
std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}
bool logged(const World& world, const std::string& what) {
    for (int waited = 0; waited < patience_ms; waited += 5) {
        if (world.gateway->log().find(what) != std::string::npos) return true;
        poll(nullptr, 0, 5);
    }
    return false;
}

}  // namespace

TEST_CASE("a submission goes through whole, on connections that are used again") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get("first"));
    Line host = world.a.accept();
    const std::string asked = host.message();
    CHECK(asked.find("GET /api?x=1 HTTP/1.1\r\n") == 0);
    CHECK(asked.find("X-Request-Id: first\r\n") != asked.npos);
    CHECK(asked.find("X-Deadline: ") != asked.npos);
    host.send(says("200 OK", "done", "Content-Type: text/x-own\r\nX-Load: TEXT queue=2\r\n"));
    const std::string answer = client.message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Content-Type: text/x-own\r\n") != answer.npos);
    CHECK(answer.substr(answer.size() - 8) == "\r\n\r\ndone");
    const std::string body(65536, 'x');  // the most that a body may hold, both ways
    client.send(book(body));
    CHECK(host.message().find("\r\n\r\n" + body) != std::string::npos);
    host.send(says("200 OK", body));
    CHECK(client.message().find("\r\n\r\n" + body) != std::string::npos);
    // What comes early, in pieces, waits for its turn.
    const std::string two = get("third") + get("fourth");
    client.send(two.substr(0, 250));
    CHECK(host.message().find("third") != std::string::npos);
    client.send(two.substr(250));
    CHECK(host.silent(20));
    host.send(says("200 OK", "3"));
    CHECK(host.message().find("fourth") != std::string::npos);
    host.send(says("200 OK", "4"));
    CHECK(client.message().back() == '3');
    CHECK(client.message().back() == '4');
}

TEST_CASE("what comes back from a host: error, turned away, reset, no connection") {
    World world;
    SUBCASE("an error may have run: a retriable one runs again, and is delivered") {
        world.start();
        Line client = world.client();
        client.send(get());
        Line host = world.a.accept();
        host.message();
        host.send(says("500 Internal Server Error"));
        delivered(client, host, "yes");
    }
    SUBCASE("a binding one is written off after an error") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        host.send(says("503 Service Unavailable"));  // without X-Not-Run it may have run
        CHECK(status(client.message()) == 502);
        CHECK(host.silent(20));
    }
    SUBCASE("a binding one that never ran goes out again") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        host.send(says("503 Service Unavailable", "", "X-Not-Run: 1\r\n"));
        delivered(client, host, "booked");
    }
    SUBCASE("a connection that breaks after the last byte: a binding one is written off") {
        world.start();
        Line client = world.client();
        client.send(book());
        Line host = world.a.accept();
        host.message();
        SUBCASE("reset") { host.reset(); }
        SUBCASE("ended") { host.close(); }
        SUBCASE("in mid-answer") {
            host.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            host.close();
        }
        CHECK(status(client.message()) == 502);
    }
    SUBCASE("no connection: even a binding one may be bounced, with advice") {
        Door closed(false);
        world.known = list(4, true, entry("a", closed));
        world.start();
        Line client = world.client();
        client.send(book());
        CHECK(status(client.message()) == 503);
    }
    SUBCASE("nothing: an answer comes before the client's limit, and the host's connection is closed") {
        world.start();
        Line client = world.client();
        client.send(replaced(book(), "X-Deadline: 9.0", "X-Deadline: 0.2"));
        Line host = world.a.accept();
        host.message();
        CHECK(status(client.message()) == 502);
        CHECK(host.ended());
    }
}

TEST_CASE("a kept connection that its host has closed is not used") {
    World world;
    world.start();
    Line client = world.client();
    client.send(book());
    {
        Line host = world.a.accept();
        delivered(client, host, "1");
    }
    // Its end is seen by the gateway before anything that a new connection brings later.
    CHECK(status([&] {
              Line other = world.client();
              other.send("GET /health/ready HTTP/1.1\r\n\r\n");
              return other.message();
          }()) == 200);
    client.send(book());
    Line host = world.a.accept();
    delivered(client, host, "2");
}

TEST_CASE("what follows an answer is nobody's answer, and what comes ahead of one comes to an end") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get("1") + get("2"));
    Line host = world.a.accept();
    host.message();
    // The answer fills what is read at once, and the second one goes out as soon as it is told.
    std::string first = says("200 OK", std::string(4000, 'x'));
    first = says("200 OK", std::string(4000 + 4096 - first.size(), 'x'));
    REQUIRE(first.size() == 4096);
    host.send(first + says("200 OK", "noise"));
    CHECK(client.message().back() == 'x');
    Line other = world.a.accept();
    delivered(client, other, "second");
    CHECK(host.ended());
    // Interim answers are skipped, but not without end.
    client.send(get("3"));
    other.message();
    std::string many = says("100 Continue");
    for (int n = 0; n < 5; ++n) many += many;
    other.send(many);
    CHECK(other.ended());
    Line last = world.a.accept();
    last.message();
    last.send("HTTP/1.1 103 Early Hints\r\n\r\n" + says("200 OK", "third"));
    CHECK(client.message().find("third") != std::string::npos);
}

TEST_CASE("a client that leaves: its execution is called off and nothing more is sent") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    host.message();
    client.close();
    CHECK(host.ended());
    CHECK(!world.a.knocked(50));
}

TEST_CASE("a host that goes silent loses its execution to another, and never has two out") {
    World world;
    world.settings = replaced(world.settings, R"("goalTime":8000.0)", R"("goalTime":500.0)");
    world.known = list(4, true, entry("a", world.a) + "," + entry("b", world.b));
    world.start();
    Line client = world.client();
    client.send(get());
    Door& first = world.a.knocked(0) || !world.b.knocked(100) ? world.a : world.b;
    Line silent = first.accept();
    silent.message();
    CHECK(silent.ended());  // called off by closing, before the next one goes out
    Line other = (&first == &world.a ? world.b : world.a).accept();
    other.message();
    other.send(says("200 OK", "yes"));
    CHECK(status(client.message()) == 200);
}

TEST_CASE("a kept connection is given back well before its host would close it") {
    World world;
    world.settings = replaced(world.settings, R"("idleClose":15000.0)", R"("idleClose":400.0)");
    world.start();
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    delivered(client, host);
    CHECK(host.ended());
    client.send(get());
    world.a.accept().message();
}

TEST_CASE("a cut-off host: connecting ends by itself, and the submission goes elsewhere or back") {
    World world;
    Door full(false);  // bound and not listening would refuse: one whose queue is full says nothing
    full.open(0);
    std::vector<Line> queued;
    for (int n = 0; n < 2 && !full.knocked(0); ++n) queued.push_back(Line::to(full.port));
    world.known = list(4, true, entry("a", full));
    world.start();
    Line client = world.client();
    const auto began = std::chrono::steady_clock::now();
    client.send(book());
    CHECK(status(client.message()) == 503);                                            // it never ran
    CHECK(std::chrono::steady_clock::now() - began > std::chrono::milliseconds(240));  // nothing refused it
}

TEST_CASE("bounces carry advice in seconds") {
    World world;
    world.start();
    Line client = world.client();
    client.send(get("1", "small"));
    Line host = world.a.accept();
    host.message();
    host.send(says("200 OK"));
    client.message();
    client.send(get("2", "small"));
    const std::string answer = client.message();
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
        Line client = world.client();
        client.send(request);
        const std::string answer = client.message();
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
    // What names two lengths may hide a request behind it: nothing more is read there.
    Line hidden = world.client();
    hidden.send(replaced(book(""), "Content-Length: 0", "Content-Length: 4\r\nTransfer-Encoding: chunked") +
                "0\r\n\r\n" + get("hidden"));
    CHECK(status(hidden.message()) / 100 == 4);
    CHECK(hidden.ended());
    CHECK(!world.a.knocked(20));
    // A request that is only wrong leaves its connection in use.
    Line client = world.client();
    client.send(replaced(get(), "X-Class: read", "X-Class: write") + get("good"));
    CHECK(status(client.message()) == 400);
    Line host = world.a.accept();
    delivered(client, host);
}

TEST_CASE("an id that is open is not taken a second time, and free again once it is answered") {
    World world;
    world.start();
    Line client = world.client(), other = world.client();
    client.send(get("same"));
    Line host = world.a.accept();
    host.message();
    other.send(get("same"));
    CHECK(status(other.message()) == 409);
    host.send(says("200 OK"));
    CHECK(status(client.message()) == 200);
    other.send(get("same"));
    delivered(other, host);
}

TEST_CASE("who sends nothing, or no whole message, is let go within 3 s; who has asked, not within 2 s") {
    World world;
    world.start();
    const auto began = std::chrono::steady_clock::now();
    const auto passed = [&] { return std::chrono::steady_clock::now() - began; };
    Line silent = world.client(), half = world.client(), asked = world.client(), large = world.client();
    half.send(get().substr(0, 60));
    large.send(replaced(book(""), "Content-Length: 0", "Content-Length: 60000000") +
               std::string(300000, 'x'));
    CHECK(status(large.message()) == 413);
    asked.send(get());
    Line host = world.a.accept();
    delivered(asked, host);
    CHECK(silent.ended());
    CHECK(passed() < std::chrono::milliseconds(2900));
    CHECK(status(half.message()) == 408);
    CHECK(half.ended());
    CHECK(passed() < std::chrono::milliseconds(2900));
    CHECK(asked.ended());
    CHECK(passed() > std::chrono::milliseconds(2000));
}

TEST_CASE("where many ask once and keep their connection, those that stand idle go soon") {
    World world;
    world.sockets = 120;  // of which clients hold 40
    world.start();
    std::vector<Line> stay;
    for (int n = 0; n < 25; ++n) {
        stay.push_back(world.client());
        stay.back().send(get(std::to_string(n)));
        if (n == 0) stay.push_back(world.a.accept());
        delivered(stay[n ? n + 1 : 0], stay[1]);
    }
    const auto began = std::chrono::steady_clock::now();
    CHECK(stay.back().ended());
    // The first one came while there was room for all.
    if (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1000)) CHECK(stay[0].silent(0));
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1500));
}

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

TEST_CASE("SIGHUP: discovery and counter are where the new file says; calls out keep their answers") {
    World world;
    world.with_counter();
    const std::string life = world.window_just_begun();
    world.start();
    Line watch = world.discovery.accept(), counter = world.counter.accept();
    Line client = world.client();
    client.send(get("1", "small"));
    counter.until("\r\n");
    Door discovery, new_counter;
    world.gateway->configure(
        replaced(replaced(world.configuration(), world.discovery.address(), discovery.address()),
                 world.counter.address(), new_counter.address()));
    world.gateway->signal(SIGHUP);
    Line next = new_counter.accept(), anew = discovery.accept();
    CHECK(watch.until("\r\n\r\n").find("index=4 ") != std::string::npos);
    CHECK(watch.ended());
    // Over its quota, says the old counter; that is its last word.
    counter.send("ok 900\r\n");
    CHECK(status(client.message()) == 503);
    next.until(" 0 " + life + "\r\n");  // the window before
    next.send("ok 0\r\n");
    next.until(" -1 " + life + "\r\n");  // and its unit back
    next.send("ok 899\r\n");
    Line other = world.client();
    other.send(replaced(get("2"), "00000000b4d65521", "0000000000000007"));
    CHECK(next.until("\r\n").find(" 1 60000") != std::string::npos);
    next.send("ok 1\r\n");
    // Whole at its host before news that this host is gone: one that still waits for its connection moves.
    Line host = world.a.accept();
    host.message();
    // The new source counts from elsewhere, and has another host.
    anew.until("\r\n\r\n");
    anew.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
              chunk(list(2, true, entry("b", world.b)) + "\n"));
    host.send(says("200 OK"));
    CHECK(status(other.message()) == 200);
    CHECK(host.ended());
    other.send(replaced(get("3"), "00000000b4d65521", "0000000000000007"));
    next.until("\r\n");
    next.send("ok 2\r\n");
    Line second = world.b.accept();
    delivered(other, second);
}

TEST_CASE("SIGHUP with a bad file, or the same one: a message, and the old one stays") {
    World world;
    world.with_counter();
    world.start();
    Line watch = world.discovery.accept(), counter = world.counter.accept();
    world.gateway->configure(replaced(world.configuration(), R"("discovery":"127)", R"("discovery":"x)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "error configuration: discovery: "));
    world.gateway->configure(replaced(world.configuration(), R"("sockets":256)", R"("sockets":512)"));
    world.gateway->signal(SIGHUP);
    CHECK(logged(world, "configuration: limits.sockets: needs a restart"));
    CHECK(!world.discovery.knocked(20));
    CHECK(!world.counter.knocked(0));
    CHECK(counter.silent(0));
}

TEST_CASE("SIGTERM: not ready, what is open is answered and let go, and it ends clean") {
    World world;
    world.start();
    Line client = world.client(), idle = world.client();
    client.send(book());  // never called off, however long it takes
    Line host = world.a.accept();
    host.message();
    world.gateway->signal(SIGTERM);
    CHECK(idle.ended());  // the door has closed by now
    host.send(says("200 OK", "in time"));
    const std::string answer = client.message();
    CHECK(status(answer) == 200);
    CHECK(answer.find("Connection: close\r\n") != answer.npos);
    CHECK(client.ended());
    client.close();
    idle.close();
    CHECK(world.gateway->ends() == 0);
}

TEST_CASE("SIGTERM: new connections are still served for a while, but not called ready") {
    World world;
    world.start();
    world.gateway->signal(SIGTERM);
    for (int tried = 0;; ++tried) {  // until the signal has come through
        Line asks = world.client();
        asks.send("GET /health/ready HTTP/1.1\r\n\r\n");
        if (status(asks.message()) == 503) break;
        REQUIRE(tried < 1000);
    }
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    delivered(client, host);
}

TEST_CASE("more clients than descriptors: idle ones go first, nothing that was taken is dropped") {
    World world;
    world.sockets = 40;  // of which 26 are for connections, and clients leave a quarter of those
    world.start();
    rlimit few{40, 40};
    REQUIRE(prlimit(world.gateway->pid(), RLIMIT_NOFILE, &few, nullptr) == 0);
    std::vector<Line> idle;
    for (int n = 0; n < 24; ++n) idle.push_back(world.client());
    Line client = world.client();
    client.send(get());
    Line host = world.a.accept();
    host.message();
    std::vector<Line> crowd;
    for (int n = 0; n < 60; ++n) crowd.push_back(world.client());
    host.send(says("200 OK"));
    CHECK(status(client.message()) == 200);
    crowd.clear();
    Line late = world.client();
    late.send(get());
    delivered(late, host);
}

TEST_CASE("a client that has just connected is not let go for the next one") {
    World world;
    world.sockets = 40;
    world.start();
    const auto began = std::chrono::steady_clock::now();
    std::vector<Line> crowd;
    for (int n = 0; n < 24; ++n) crowd.push_back(world.client());  // more than are taken in
    const bool kept = crowd[0].silent(50);
    // A machine too slow for a quarter of a second proves nothing.
    if (std::chrono::steady_clock::now() - began > std::chrono::milliseconds(200)) return;
    CHECK(kept);
    crowd[0].send(get());
    Line host = world.a.accept();
    delivered(crowd[0], host);
}

TEST_CASE("a bad configuration: the message names the key, and the exit code says so") {
    World world;
    const auto fault = [&](const std::string& from, const std::string& to, const std::string& key) {
        Gateway gateway(replaced(world.configuration(), from, to));
        CHECK(gateway.ends() == 2);
        CHECK_MESSAGE(gateway.log().find("configuration: " + key) != std::string::npos, gateway.log());
    };
    fault(R"("name":"n1")", R"("name":7)", "name: ");
    fault(R"("listen":)", R"("lisent":)", "listen: ");
    fault(R"("discovery":"127.0.0.1:)", R"("discovery":"localhost:)", "discovery: ");
    fault(R"("seed":"8c)", R"("seed":"zz)", "seed: ");
    fault(R"("sockets":256)", R"("sockets":-1)", "sockets: ");
    fault(R"("settings":{)", R"("sittings":{)", "settings: ");
    fault(R"("phase":"in_service")", R"("phase":"asleep")", "phase: ");
    fault(R"("dialTimeout":250.0)", R"("dialTimeout":"soon")", "settings: limits.connect_within: ");
    fault(R"("fall":3000.0,)", "", "settings: term missing: rules.fall");
    fault(R"("name":"n1")", R"("name":"n1)", "configuration: no JSON");
    Gateway nowhere(
        replaced(world.configuration(), world.place.address(), "127.0.0.1:" + std::to_string(world.a.port)));
    CHECK(nowhere.ends() == 1);
    CHECK(nowhere.log().find("listen") != std::string::npos);
}
