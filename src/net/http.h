// Incremental HTTP/1.1 message reader on top of http-parser: reads one message at a time from a ring buffer.
// Owns the message being read, never consumes bytes past its end and never holds more than its limits.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "request_framing.h"
#include "ring.h"

namespace dewweir::net {

constexpr std::size_t default_max_body_bytes = 65536, default_max_head_bytes = 16384;

// ASCII case-insensitive comparison, as for HTTP field names.
bool equal_ignoring_case(std::string_view a, std::string_view b);

// Limits in bytes. `window`: reading pauses while this much of the body has not been taken.
// `chunked_requests`: whether requests with a chunked body are accepted, else they fail with 411.
struct HttpLimits {
    std::size_t head = default_max_head_bytes;
    std::uint64_t body = default_max_body_bytes;
    std::size_t window = std::numeric_limits<std::size_t>::max();
    bool chunked_requests = false;
};

// Reader for requests or responses, limited by HttpLimits.
class HttpReader {
  public:
    enum class State { more, complete, bad };
    // Whether a response has the body that its head states. It has none in answer to HEAD, whatever its head
    // states (RFC 9112, section 6.3). `unknown` makes the message bad: its end cannot be found.
    enum class ResponseBody : std::uint8_t { as_stated, none, unknown };
    using ResponseBodyRule = std::function<ResponseBody(const HttpReader&)>;

    explicit HttpReader(http_parser_type kind, std::size_t body_limit = default_max_body_bytes);
    HttpReader(http_parser_type kind, const HttpLimits& limits);
    HttpReader(const HttpReader&) = delete;

    // Consumes bytes up to the end of the message. After State::complete, `next` must be called before the
    // next `read`.
    State read(Ring& ring);
    // Resets the reader for the next message.
    void next();

    // True from the first byte of a message until `next`.
    bool begun() const { return begun_; }
    bool head_read() const { return head_read_; }
    bool complete() const { return complete_; }
    // Whether the body is chunked; otherwise `body_length` is its length, 0 without a body.
    bool chunked() const { return chunked_; }
    std::uint64_t body_length() const { return body_length_; }
    // Content-Length of the message; empty without the field or for a chunked body.
    std::optional<std::uint64_t> stated_length() const {
        if (chunked_ || !(parser_.flags & F_CONTENTLENGTH)) return std::nullopt;
        return body_length_;
    }
    // Whether this is a response whose body ends with the connection, so that truncation cannot be detected.
    bool ends_with_connection() const;
    // Body bytes read so far, including those already taken.
    std::uint64_t body_read() const { return body_read_; }
    // Called when the head of a response has been read. Without a rule every body is as stated.
    void set_response_body_rule(ResponseBodyRule rule) { response_body_rule_ = std::move(rule); }
    void set_limits(const HttpLimits& limits) { limits_ = limits; }
    // Status code to answer a bad message with; 0 if none was found.
    int fault() const { return fault_; }
    unsigned status() const { return parser_.status_code; }
    unsigned method() const { return parser_.method; }
    bool keep_alive() const { return keep_alive_; }
    const std::string& target() const { return target_; }
    std::string& body() { return body_; }
    bool has_field(std::string_view name) const;
    // Value of a header field; empty if it is absent or occurs more than once.
    std::string_view field(std::string_view name) const;
    // Appends the end-to-end header fields except `excluded`, each ended by CR LF.
    void append_forwarded_fields(std::string& to, std::initializer_list<std::string_view> excluded) const;

  private:
    struct Field {
        std::size_t name, name_size, value, value_size;
    };
    static HttpReader& reader_of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
    int append_to_head(std::string& what, const char* at, std::size_t n);
    // Counts trailer bytes towards the head limit; trailers are discarded.
    int count_trailer(std::size_t n);
    // Records the status to answer with; the result makes http-parser stop.
    int fail(int status) {
        fault_ = status;
        return 1;
    }
    bool framing_is_unambiguous() const;
    ResponseBody response_body() const;
    // Whether a field of this name is hop-by-hop (RFC 9110, section 7.6.1).
    bool is_hop_by_hop(std::string_view wanted) const;
    void parse(std::string_view part, Ring& ring);
    std::string_view name(const Field& f) const { return {&fields_[f.name], f.name_size}; }
    std::string_view value(const Field& f) const;

    static const http_parser_settings callbacks;

    http_parser parser_;
    HttpLimits limits_;
    ResponseBodyRule response_body_rule_;
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
