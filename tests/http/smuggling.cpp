// Requests that two parsers could read differently (request smuggling) are answered 400, however they are
// split. Cases from RFC 9112 (sections 2.2, 5.1, 5.2, 6.1 to 6.3 and 7.1).
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "feed.h"

using namespace dewweir::net;
using namespace dewweir::net::tests;

namespace {

std::string with_fields(const std::string& fields, const std::string& body = {}) {
    return "POST /a/ HTTP/1.1\r\nHost: shop\r\n" + fields + "\r\n" + body;
}

void require_refused(const std::string& text) {
    for (const std::size_t step : {text.size(), std::size_t{1}}) {
        INFO("fed " << step << " at a time:\n" << text);
        const Reading reading = read_request(text, step);
        CHECK(reading.state == HttpReader::State::bad);
        CHECK(reading.fault == 400);
    }
}

}  // namespace

TEST_CASE("a request with two framings of its body is refused") {
    require_refused(with_fields("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"));
    require_refused(with_fields("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"));
    require_refused(with_fields("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"));
    require_refused(with_fields("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"));
    require_refused(with_fields("Content-Length: 3, 3\r\n", "abc"));
    require_refused(with_fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"));
    require_refused(
        with_fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"));
}

TEST_CASE("a transfer coding other than chunked alone is refused") {
    for (const char* const coding :
         {"chunked, identity", "identity, chunked", "gzip, chunked", "chunked, chunked", "identity",
          "xchunked", "chunkedx", "chunked;q=1", "\"chunked\"", "chun ked", "", ","}) {
        require_refused(with_fields(std::string("Transfer-Encoding: ") + coding + "\r\n", "0\r\n\r\n"));
    }
    require_refused("POST /a/ HTTP/1.0\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

TEST_CASE("a length that is no plain number is refused") {
    for (const char* const length : {"-1", "+3", "0x3", "3 3", "3;", "3.0", "1e1", "three", "", ",",
                                     "99999999999999999999999999", "18446744073709551616"}) {
        require_refused(with_fields(std::string("Content-Length: ") + length + "\r\n", "abc"));
    }
}

TEST_CASE("a field name with space around it is refused") {
    require_refused(with_fields("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"));
    require_refused(with_fields("Content-Length : 3\r\n", "abc"));
    require_refused(with_fields("Content-Length\t: 3\r\n", "abc"));
    require_refused(with_fields("Some thing: 3\r\n"));
    require_refused(with_fields("X-Note : a\r\n"));
    require_refused("POST /a/ HTTP/1.1\r\n Host: shop\r\n\r\n");
    require_refused(with_fields(": 3\r\n"));
    require_refused(with_fields("nothing\r\n"));
}

TEST_CASE("a folded field value is refused") {
    require_refused(with_fields("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"));
    require_refused(with_fields("Transfer-Encoding: chun\r\n ked\r\n", "0\r\n\r\n"));
    require_refused(with_fields("Content-Length: 1\r\n 0\r\n", "abcdefghij"));
    require_refused(with_fields("X-Note: a\r\n\tb\r\n"));
    require_refused(with_fields("X-Note: a\r\n \r\n"));
}

TEST_CASE("a line that does not end with CR LF is refused") {
    require_refused("POST /a/ HTTP/1.1\nHost: shop\r\n\r\n");
    require_refused("POST /a/ HTTP/1.1\r\nHost: shop\n\r\n");
    require_refused("POST /a/ HTTP/1.1\r\nHost: shop\r\n\n");
    require_refused("POST /a/ HTTP/1.1\r\nHost: shop\r\n\rGET / HTTP/1.1\r\n\r\n");
    require_refused(with_fields("X-Note: a\rb\r\n"));
    require_refused(with_fields("X-Note: a\rContent-Length: 3\r\n", "abc"));
    require_refused(with_fields("X-Note: a\nContent-Length: 3\r\n", "abc"));
    require_refused(with_fields("X-Note:\rContent-Length: 3\r\n", "abc"));
    require_refused("\nPOST /a/ HTTP/1.1\r\nHost: shop\r\n\r\n");
}

TEST_CASE("control characters in a head are refused") {
    require_refused(with_fields(std::string("X-Note: a\0b\r\n", 13)));
    require_refused(with_fields("X-Note: a\x01z\r\n"));
    require_refused(with_fields("X-Note: a\x7fz\r\n"));
    require_refused("POST /a/\tb HTTP/1.1\r\nHost: shop\r\n\r\n");
    require_refused("POST /a/\fb HTTP/1.1\r\nHost: shop\r\n\r\n");
}

TEST_CASE("a malformed chunk is refused") {
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const char* const body : {"3\nabc\r\n0\r\n\r\n",
                                   "3\r\nabc\n0\r\n\r\n",
                                   "3\r\nabc\r\n0\n\r\n",
                                   "3\r\nabc\r\n0\r\n\n",
                                   "3\r\nabcXY0\r\n\r\n",
                                   "3\r\nabcd\r\n0\r\n\r\n",
                                   "3\rXabc\r\n0\r\n\r\n",
                                   "3 \r\nabc\r\n0\r\n\r\n",
                                   " 3\r\nabc\r\n0\r\n\r\n",
                                   "-3\r\nabc\r\n0\r\n\r\n",
                                   "+3\r\nabc\r\n0\r\n\r\n",
                                   "0x3\r\nabc\r\n0\r\n\r\n",
                                   "\r\nabc\r\n0\r\n\r\n",
                                   ";a\r\n0\r\n\r\n",
                                   "3;a\nb\r\nabc\r\n0\r\n\r\n",
                                   "3;a\rb\r\nabc\r\n0\r\n\r\n",
                                   "10000000000000003\r\nabc\r\n0\r\n\r\n",
                                   "0\r\nX-Late : a\r\n\r\n",
                                   "0\r\nX-Late: a\r\n b\r\n\r\n",
                                   "0\r\nX-Late: a\n\r\n"}) {
        require_refused(with_fields(chunked, body));
    }
}

TEST_CASE("a version other than 1.0 and 1.1 is refused") {
    require_refused("GET /a/\r\nHost: shop\r\n\r\n");
    require_refused("GET /a/ HTTP/0.9\r\nHost: shop\r\n\r\n");
    require_refused("GET /a/ HTTP/2.0\r\nHost: shop\r\n\r\n");
    require_refused("GET /a/ HTTP/1.2\r\nHost: shop\r\n\r\n");
    require_refused("GET /a/ HTTP/1.10\r\nHost: shop\r\n\r\n");
}

TEST_CASE("corrupted requests give the same result however they are split") {
    const std::string seeds[] = {
        with_fields("Content-Length: 5\r\n", "abcde"),
        with_fields("Transfer-Encoding: chunked\r\nX-Note: a\r\n",
                    "3;n=v\r\nabc\r\n2\r\nde\r\n0\r\nX-Late: a\r\n\r\n"),
    };
    const std::string letters = "\r\n\t :;,03aZ-\x01\x7f\xff";
    std::mt19937 random(20);
    for (int round = 0; round < 3000; ++round) {
        std::string text = seeds[round % 2];
        for (std::size_t spoilt = 1 + random() % 3; spoilt > 0; --spoilt) {
            const std::size_t at = random() % text.size();
            const std::size_t removed = random() % 3;
            text.replace(at, removed, random() % 2, letters[random() % letters.size()]);
        }
        INFO(text);
        const Reading at_once = read_request(text);
        CHECK(read_request(text, 1) == at_once);
        CHECK(read_request(text, 5) == at_once);
    }
}
