// Reads HTTP/1.1 messages off a ring by http-parser, one at a time. Owns the message it is reading; it must
// never take a byte past that message's end, and never holds more than its limits.
#pragma once

#include <http_parser.h>

#include <string>
#include <string_view>
#include <vector>

#include "ring.h"

namespace dewweir::net {

constexpr std::size_t most_body = 65536, most_head = 16384;

bool same_word(std::string_view a, std::string_view b);  // as HTTP compares names: case does not count

class HttpReader {
  public:
    enum class State { more, whole, bad };

    explicit HttpReader(http_parser_type kind, std::size_t body_limit = most_body);
    HttpReader(const HttpReader&) = delete;

    // Reads on; after `whole`, `next` must come before the next read.
    State read(Ring& ring);
    void next();

    // True from the first byte of a message until `next`.
    bool begun() const { return begun_; }
    bool head_read() const { return head_read_; }
    bool whole() const { return whole_; }
    // What a bad message is answered with.
    int fault() const { return fault_; }
    unsigned status() const { return parser_.status_code; }
    unsigned method() const { return parser_.method; }
    bool keep_alive() const { return keep_alive_; }
    const std::string& target() const { return target_; }
    std::string& body() { return body_; }
    // The value of a field, empty where there is none, or more than one.
    std::string_view field(std::string_view name) const;
    // Appends the fields that pass through a gateway, but those it is told to leave out.
    void pass_on(std::string& to, std::initializer_list<std::string_view> but) const;

  private:
    struct Field {
        std::size_t name, name_size, value, value_size;
    };
    static HttpReader& of(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
    int grow(std::string& what, const char* at, std::size_t n);
    int stop(int status) { return fault_ = status, 1; }
    std::string_view name(const Field& f) const { return {&fields_[f.name], f.name_size}; }
    std::string_view value(const Field& f) const { return {&fields_[f.value], f.value_size}; }

    static const http_parser_settings calls;

    http_parser parser_;
    std::size_t body_limit_;
    bool begun_ = false, head_read_ = false, whole_ = false, in_value_ = false, keep_alive_ = true;
    int fault_ = 0;
    std::string target_, fields_, body_;
    std::vector<Field> index_;
};

}  // namespace dewweir::net
