// Reads HTTP/1.1 messages off a ring by http-parser, one at a time. Owns the message it is reading; it must
// never take a byte past that message's end, and never holds more than its limits.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "request_framing.h"
#include "ring.h"

namespace dewweir::net {

constexpr std::size_t default_max_body_bytes = 65536, default_max_head_bytes = 16384;

bool equal_ignoring_case(std::string_view a,
                         std::string_view b);  // as HTTP compares names: case does not count

// In bytes. `window`: how much of a body may wait to be taken before reading stops.
struct HttpLimits {
    std::size_t head = default_max_head_bytes;
    std::uint64_t body = default_max_body_bytes;
    std::size_t window = std::numeric_limits<std::size_t>::max();
    bool chunked_requests = false;
};

class HttpReader {
  public:
    enum class State { more, complete, bad };

    explicit HttpReader(http_parser_type kind, std::size_t body_limit = default_max_body_bytes);
    HttpReader(http_parser_type kind, const HttpLimits& limits);
    HttpReader(const HttpReader&) = delete;

    // Reads on; after `whole`, `next` must come before the next read.
    State read(Ring& ring);
    void next();

    // True from the first byte of a message until `next`.
    bool begun() const { return begun_; }
    bool head_read() const { return head_read_; }
    bool complete() const { return complete_; }
    // The message's body comes in chunks; else its length is told, 0 where it has none.
    bool chunked() const { return chunked_; }
    std::uint64_t body_length() const { return body_length_; }
    // The length that the head states; nothing where it states none, or the body comes in chunks.
    std::optional<std::uint64_t> stated_length() const {
        if (chunked_ || !(parser_.flags & F_CONTENTLENGTH)) return std::nullopt;
        return body_length_;
    }
    // An answer whose body only ends with the connection: that it is whole can't be told.
    bool ends_with_connection() const;
    // Of a body read so far, taken or not.
    std::uint64_t body_read() const { return body_read_; }
    // The answer to be read next belongs to a HEAD request and has no body.
    void expect_no_body() { no_body_ = true; }
    void set_limits(const HttpLimits& limits) { limits_ = limits; }
    // What a bad message is answered with.
    int fault() const { return fault_; }
    unsigned status() const { return parser_.status_code; }
    unsigned method() const { return parser_.method; }
    bool keep_alive() const { return keep_alive_; }
    const std::string& target() const { return target_; }
    std::string& body() { return body_; }
    bool has_field(std::string_view name) const;
    // The value of a field, empty where there is none, or more than one.
    std::string_view field(std::string_view name) const;
    // Appends the fields that pass through a gateway, excluded those it is told to leave out.
    void append_forwarded_fields(std::string& to, std::initializer_list<std::string_view> excluded) const;

  private:
    struct Field {
        std::size_t name, name_size, value, value_size;
    };
    static HttpReader& reader_of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
    int append_to_head(std::string& what, const char* at, std::size_t n);
    // CounterListener bytes of a trailer, which is no part of the head and is not kept.
    int count_trailer(std::size_t n);
    int fail(int status) { return fault_ = status, 1; }
    bool framing_is_unambiguous() const;
    // Whether a field of this name concerns this connection alone.
    bool is_hop_by_hop(std::string_view wanted) const;
    void parse(std::string_view part, Ring& ring);
    std::string_view name(const Field& f) const { return {&fields_[f.name], f.name_size}; }
    std::string_view value(const Field& f) const;

    static const http_parser_settings callbacks;

    http_parser parser_;
    HttpLimits limits_;
    std::uint64_t body_length_ = 0, body_read_ = 0;
    std::size_t trailer_size_ = 0;
    RequestFraming framing_;
    bool no_body_ = false, chunked_ = false;
    bool begun_ = false, head_read_ = false, complete_ = false, in_value_ = false, keep_alive_ = true;
    int fault_ = 0;
    std::string target_, fields_, body_;
    std::vector<Field> index_;
};

}  // namespace dewweir::net
