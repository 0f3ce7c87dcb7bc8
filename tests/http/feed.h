// Feeds requests to an HttpReader, at once or in pieces, and returns the result.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "net/http.h"

namespace dewweir::net::tests {

// The result of reading one message.
struct Reading {
    HttpReader::State state = HttpReader::State::more;
    int fault = 0;
    std::string target;
    std::string fields;  // forwarded header fields
    std::string body;
    bool chunked = false;
    bool keep_alive = false;
    std::size_t unread = 0;  // bytes after the message

    bool operator==(const Reading&) const = default;
};

inline HttpLimits chunked_limits() {
    HttpLimits limits;
    limits.chunked_requests = true;
    return limits;
}

// Reads the first message of `text`, fed `step` bytes at a time. Bytes after its end stay unread.
inline Reading read_request(std::string_view text, std::size_t step,
                            const HttpLimits& limits = chunked_limits()) {
    HttpReader reader(HTTP_REQUEST, limits);
    Ring ring;
    Reading reading;
    while (!text.empty() && reading.state == HttpReader::State::more) {
        ring.append(text.substr(0, step));
        text.remove_prefix(std::min(step, text.size()));
        reading.state = reader.read(ring);
    }
    reading.fault = reader.fault();
    if (reading.state != HttpReader::State::complete) return reading;
    reading.target = reader.target();
    reader.append_forwarded_fields(reading.fields, {});
    reading.body = reader.body();
    reading.chunked = reader.chunked();
    reading.keep_alive = reader.keep_alive();
    reading.unread = ring.size() + text.size();
    return reading;
}

inline Reading read_request(std::string_view text) { return read_request(text, text.size()); }

}  // namespace dewweir::net::tests
