// Reads one HTTP message at once and byte by byte: what becomes of it may not depend on how it comes.
#pragma once

#include <algorithm>
#include <string>

#include "fuzz/fuzz.h"
#include "net/http.h"

namespace dewweir::fuzz {

struct Verdict {
    net::HttpReader::State state = net::HttpReader::State::more;
    int fault = 0;
    std::string body;  // of a whole message

    bool operator==(const Verdict&) const = default;
};

// The first message of `text`, which comes `step` bytes at a time.
inline Verdict read_message(http_parser_type kind, std::string_view text, std::size_t step) {
    net::HttpLimits limits;
    limits.chunked_requests = true;
    net::HttpReader reader(kind, limits);
    net::Ring ring;
    Verdict verdict;
    while (!text.empty() && verdict.state == net::HttpReader::State::more) {
        ring.append(text.substr(0, step));
        text.remove_prefix(std::min(step, text.size()));
        verdict.state = reader.read(ring);
    }
    verdict.fault = reader.fault();
    if (verdict.state == net::HttpReader::State::complete) verdict.body = reader.body();
    return verdict;
}

inline void read_in_pieces(http_parser_type kind, std::string_view text) {
    const Verdict at_once = read_message(kind, text, std::max<std::size_t>(text.size(), 1));
    must_hold(at_once == read_message(kind, text, 1));
}

}  // namespace dewweir::fuzz
