// HttpReader on valid requests and responses, and its limits.
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "feed.h"

using namespace dewweir::net;
using namespace dewweir::net::tests;

namespace {

using State = HttpReader::State;

const std::string chunked_head = "POST /a/ HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n";

HttpLimits limits_of(std::size_t head, std::uint64_t body) {
    HttpLimits limits = chunked_limits();
    limits.head = head;
    limits.body = body;
    return limits;
}

// A body of `size` letters in chunks of random lengths, some with extensions, and a trailer field.
std::string random_chunks(std::mt19937& random, const std::string& body) {
    std::string text;
    for (std::size_t at = 0; at < body.size();) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 40, body.size() - at);
        char line[32];
        std::snprintf(line, sizeof line, random() % 2 ? "%zx\r\n" : "%zX;name=value\r\n", size);
        text.append(line).append(body, at, size).append("\r\n");
        at += size;
    }
    return text + (random() % 2 ? "0\r\n\r\n" : "0\r\nX-Late: a\r\n\r\n");
}

}  // namespace

TEST_CASE("a request reads the same however it is split, and no byte after it is consumed") {
    std::mt19937 random(7);
    for (int round = 0; round < 40; ++round) {
        const std::string body(random() % 300, 'b');
        const bool chunked = round % 2 == 0;
        const std::string sized = "POST /a/?q HTTP/1.1\r\nhost:shop\r\nX-Note: \t a  b \r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::string message = chunked ? chunked_head + random_chunks(random, body) : sized;
        const std::string behind = "GET /b/ HTTP/1.1\r\n\r\n";
        const Reading at_once = read_request(message + behind);
        REQUIRE(at_once.state == State::complete);
        CHECK(at_once.body == body);
        CHECK(at_once.chunked == chunked);
        CHECK(at_once.unread == behind.size());
        for (std::size_t step : {1, 2, 3, 7, 64}) CHECK(read_request(message + behind, step) == at_once);
    }
}

TEST_CASE("space around a field's value isn't part of it") {
    const Reading reading = read_request("GET / HTTP/1.1\r\nHost: \t shop  \t\r\nX-Empty:   \r\n\r\n");
    REQUIRE(reading.state == State::complete);
    CHECK(reading.fields == "Host: shop\r\nX-Empty: \r\n");
}

TEST_CASE("trailer fields are not header fields") {
    const std::string text = chunked_head + "0\r\nAuthorization: Bearer other\r\nHost: other\r\n\r\n";
    for (const std::size_t step : {text.size(), std::size_t{1}}) {
        const Reading reading = read_request(text, step);
        REQUIRE(reading.state == State::complete);
        CHECK(reading.fields == "Host: shop\r\n");
    }
}

TEST_CASE("a chunked request is refused where chunked requests are not accepted") {
    const Reading reading = read_request(chunked_head + "0\r\n\r\n", 1, HttpLimits{});
    CHECK(reading.state == State::bad);
    CHECK(reading.fault == 411);
}

TEST_CASE("a body over the limit is refused: at once by its length, a chunked one when the limit is passed") {
    const HttpLimits limits = limits_of(default_max_head_bytes, 10);
    const Reading sized = read_request("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 1, limits);
    CHECK(sized.fault == 413);
    CHECK(read_request("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789", 1, limits).state ==
          State::complete);
    CHECK(read_request(chunked_head + "6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n", 1, limits).state ==
          State::complete);
    for (const std::size_t step : {1, 500}) {
        CHECK(read_request(chunked_head + "6\r\n012345\r\n5\r\n6789A\r\n", step, limits).fault == 413);
    }
}

TEST_CASE("a head over the limit is refused, whichever part is too long") {
    const HttpLimits limits = limits_of(200, 10);
    const std::string filler(300, 'a');
    for (const std::size_t step : {1, 1000}) {
        CHECK(read_request("GET /" + filler + " HTTP/1.1\r\n\r\n", step, limits).fault == 431);
        CHECK(read_request("GET / HTTP/1.1\r\n" + filler + ": b\r\n\r\n", step, limits).fault == 431);
        CHECK(read_request("GET / HTTP/1.1\r\nName: " + filler + "\r\n\r\n", step, limits).fault == 431);
        CHECK(read_request(chunked_head + "0\r\nLate: " + filler + "\r\n\r\n", step, limits).fault == 431);
    }
    CHECK(read_request("GET / HTTP/1.1\r\nName: " + std::string(150, 'a') + "\r\n\r\n", 1, limits).state ==
          State::complete);
}

TEST_CASE("reading stops at the window and goes on when the body has been taken") {
    HttpLimits limits = chunked_limits();
    limits.window = 64;
    HttpReader reader(HTTP_REQUEST, limits);
    Ring ring;
    ring.append(chunked_head);
    std::string taken;
    State state = State::more;
    for (int chunk = 0; chunk < 20; ++chunk) {
        ring.append("20\r\n" + std::string(32, 'c') + "\r\n");
        if (chunk == 19) ring.append("0\r\n\r\n");
        state = reader.read(ring);
        CHECK(reader.body_read() == taken.size() + reader.body().size());
        if (reader.body().size() < limits.window) continue;
        const std::size_t waiting = ring.size();
        CHECK(reader.read(ring) == state);
        CHECK(ring.size() == waiting);  // nothing is read while the window is full
        taken += reader.body();
        reader.body().clear();
    }
    while (state == State::more && !ring.empty()) {
        taken += reader.body();
        reader.body().clear();
        state = reader.read(ring);
    }
    taken += reader.body();
    CHECK(state == State::complete);
    CHECK(taken == std::string(640, 'c'));
}

TEST_CASE("requests without a body are complete with their heads, one after the other") {
    HttpReader reader(HTTP_REQUEST, chunked_limits());
    Ring ring;
    ring.append(
        "\r\nGET /1 HTTP/1.1\r\nConnection: keep-alive\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    ring.append(chunked_head + "1\r\na\r\n0\r\n\r\nGET /4 HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::vector<std::string> targets;
    while (!ring.empty()) {
        REQUIRE(reader.read(ring) == State::complete);
        targets.push_back(reader.target() + " " + reader.body());
        CHECK(reader.keep_alive() == !ring.empty());
        reader.next();
        CHECK_FALSE(reader.begun());
    }
    CHECK(targets == std::vector<std::string>{"/1 ", "/2 ", "/a/ a", "/4 "});
}

TEST_CASE("a response shows whether its body ends with the connection") {
    const auto ends_with_connection = [](const std::string& head, bool no_body) {
        HttpReader reader(HTTP_RESPONSE, HttpLimits{});
        if (no_body)
            reader.set_response_body_rule([](const HttpReader&) { return HttpReader::ResponseBody::none; });
        Ring ring;
        ring.append(head);
        reader.read(ring);
        REQUIRE(reader.head_read());
        return reader.ends_with_connection();
    };
    CHECK(ends_with_connection("HTTP/1.1 200 OK\r\n\r\n", false));
    CHECK_FALSE(ends_with_connection("HTTP/1.1 200 OK\r\n\r\n", true));
    CHECK_FALSE(ends_with_connection("HTTP/1.1 204 No Content\r\n\r\n", false));
    CHECK_FALSE(ends_with_connection("HTTP/1.1 304 Not Modified\r\n\r\n", false));
    CHECK_FALSE(ends_with_connection("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false));
    CHECK_FALSE(ends_with_connection("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false));
}
