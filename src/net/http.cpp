#include "http.h"

#include <strings.h>

#include <algorithm>
#include <climits>

namespace dewweir::net {
namespace {

// Hop-by-hop fields, which are not forwarded; Content-Length is rewritten.
constexpr std::string_view hop_by_hop[] = {
    "Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
    "Content-Length", "Expect"};
// End-to-end fields that a Connection field must not turn into hop-by-hop ones (RFC 9110, section 7.6.1).
constexpr std::string_view end_to_end[] = {"Host", "X-Attempt-Id", "X-Server-Seal", "X-Not-Executed"};

// Whether a comma-separated list contains `wanted`, ignoring case.
bool list_contains(std::string_view list, std::string_view wanted) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view word = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        while (word.starts_with(' ') || word.starts_with('\t')) word.remove_prefix(1);
        while (word.ends_with(' ') || word.ends_with('\t')) word.remove_suffix(1);
        if (equal_ignoring_case(word, wanted)) return true;
    }
    return false;
}

}  // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const http_parser_settings HttpReader::callbacks = [] {
    http_parser_settings c;
    http_parser_settings_init(&c);
    c.on_message_begin = [](http_parser* p) {
        reader_of(p).begun_ = true;
        return 0;
    };
    c.on_url = [](http_parser* p, const char* at, std::size_t n) {
        return reader_of(p).append_to_head(reader_of(p).target_, at, n);
    };
    c.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
        HttpReader& r = reader_of(p);
        if (r.head_read_) return r.count_trailer(n);
        if (r.index_.empty() || r.in_value_) r.index_.push_back({r.fields_.size(), 0, 0, 0});
        r.in_value_ = false;
        r.index_.back().name_size += n;
        return r.append_to_head(r.fields_, at, n);
    };
    c.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
        HttpReader& r = reader_of(p);
        if (r.head_read_) return r.count_trailer(n);
        if (r.index_.empty()) return 0;
        if (!r.in_value_) r.index_.back().value = r.fields_.size();
        r.in_value_ = true;
        r.index_.back().value_size += n;
        return r.append_to_head(r.fields_, at, n);
    };
    c.on_headers_complete = [](http_parser* p) {
        HttpReader& r = reader_of(p);
        r.head_read_ = true;
        p->upgrade = 0;  // protocol upgrades are not supported
        // Without chunked_requests a body needs a Content-Length: a request that also names a transfer coding
        // may smuggle another one.
        if (p->type == HTTP_REQUEST && !r.limits_.chunked_requests && r.has_field("Transfer-Encoding"))
            return r.fail(411);
        if (p->type == HTTP_REQUEST && !r.framing_is_unambiguous()) return r.fail(400);
        r.chunked_ = (p->flags & F_CHUNKED) != 0;
        if (r.chunked_) r.framing_.begin_chunks();
        const bool sized = (p->flags & F_CONTENTLENGTH) && p->content_length != ULLONG_MAX;
        if (sized) r.body_length_ = p->content_length;
        if (sized && p->content_length > r.limits_.body) return r.fail(413);
        const ResponseBody body = r.response_body();
        if (body == ResponseBody::unknown) return r.fail(400);
        r.no_body_ = body == ResponseBody::none;
        return r.no_body_ ? 1 : 0;
    };
    c.on_body = [](http_parser* p, const char* at, std::size_t n) {
        HttpReader& r = reader_of(p);
        if (r.body_read_ + n > r.limits_.body) return r.fail(413);
        r.body_read_ += n;
        r.body_.append(at, n);
        return 0;
    };
    c.on_message_complete = [](http_parser* p) {
        reader_of(p).complete_ = true;
        reader_of(p).keep_alive_ = http_should_keep_alive(p);
        http_parser_pause(p, 1);
        return 0;
    };
    return c;
}();

HttpReader::HttpReader(http_parser_type kind, std::size_t body_limit)
    : HttpReader(kind, HttpLimits{.body = body_limit}) {}

HttpReader::HttpReader(http_parser_type kind, const HttpLimits& limits) : limits_(limits) {
    http_parser_init(&parser_, kind);
    parser_.data = this;
}

int HttpReader::append_to_head(std::string& what, const char* at, std::size_t n) {
    if (target_.size() + fields_.size() + n > limits_.head) return fail(431);
    what.append(at, n);
    return 0;
}

int HttpReader::count_trailer(std::size_t n) {
    trailer_size_ += n;
    return target_.size() + fields_.size() + trailer_size_ > limits_.head ? fail(431) : 0;
}

// Whether exactly one framing determines the end of the body (RFC 9112, section 6).
bool HttpReader::framing_is_unambiguous() const {
    const auto count = [this](std::string_view wanted) {
        return std::count_if(index_.begin(), index_.end(),
                             [&](const Field& f) { return equal_ignoring_case(name(f), wanted); });
    };
    const auto codings = count("Transfer-Encoding");
    const auto lengths = count("Content-Length");
    if (parser_.http_major != 1 || parser_.http_minor > 1) return false;
    if (codings + lengths > 1) return false;
    if (codings == 1)
        return parser_.http_minor == 1 && equal_ignoring_case(field("Transfer-Encoding"), "chunked");
    if (lengths == 0) return true;
    const std::string_view length = field("Content-Length");
    return !length.empty() && length.find_first_not_of("0123456789") == std::string_view::npos;
}

HttpReader::ResponseBody HttpReader::response_body() const {
    const bool asks_rule = parser_.type == HTTP_RESPONSE && response_body_rule_;
    return asks_rule ? response_body_rule_(*this) : ResponseBody::as_stated;
}

HttpReader::State HttpReader::read(Ring& ring) {
    while (!complete_ && !fault_ && !ring.empty() && body_.size() < limits_.window) {
        parse(ring.filled()[0], ring);
    }
    return fault_ ? State::bad : complete_ ? State::complete : State::more;
}

void HttpReader::parse(std::string_view part, Ring& ring) {
    const bool in_lines = parser_.type == HTTP_REQUEST && (!head_read_ || chunked_);
    if (in_lines) part = part.substr(0, framing_.check(part));
    if (part.empty()) {  // malformed, or only one of framing check and parser sees the end of the message
        fault_ = 400;
        return;
    }
    const std::size_t n = http_parser_execute(&parser_, &callbacks, part.data(), part.size());
    ring.consume(std::min(n, part.size()));
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_PAUSED) http_parser_pause(&parser_, 0);
    else if (error != HPE_OK && !fault_) fault_ = error == HPE_HEADER_OVERFLOW ? 431 : 400;
    if (framing_.wrong() && !fault_) fault_ = 400;
}

void HttpReader::next() {
    begun_ = head_read_ = complete_ = in_value_ = no_body_ = chunked_ = false;
    body_length_ = body_read_ = 0;
    trailer_size_ = 0;
    framing_.begin_head();
    for (std::string* const part : {&target_, &fields_, &body_}) {
        if (part->capacity() > 2048) *part = {};  // idle readers keep little memory
        part->clear();
    }
    index_.clear();
}

bool HttpReader::ends_with_connection() const {
    constexpr unsigned no_content = 204, not_modified = 304;
    const unsigned answered = parser_.status_code;
    const bool bodiless = no_body_ || answered < 200 || answered == no_content || answered == not_modified;
    const bool delimited = chunked() || (parser_.flags & F_CONTENTLENGTH) != 0;
    return parser_.type == HTTP_RESPONSE && !bodiless && !delimited;
}

std::string_view HttpReader::value(const Field& f) const {
    std::string_view text(&fields_[f.value], f.value_size);
    while (text.ends_with(' ') || text.ends_with('\t')) text.remove_suffix(1);
    return text;
}

bool HttpReader::has_field(std::string_view wanted) const {
    return std::any_of(index_.begin(), index_.end(),
                       [&](const Field& f) { return equal_ignoring_case(name(f), wanted); });
}

std::string_view HttpReader::field(std::string_view wanted) const {
    const Field* found = nullptr;
    for (const Field& f : index_) {
        if (!equal_ignoring_case(name(f), wanted)) continue;
        if (found) return {};
        found = &f;
    }
    return found ? value(*found) : std::string_view{};
}

bool HttpReader::is_hop_by_hop(std::string_view wanted) const {
    const auto is = [&](std::string_view other) { return equal_ignoring_case(wanted, other); };
    if (std::any_of(std::begin(hop_by_hop), std::end(hop_by_hop), is)) return true;
    if (std::any_of(std::begin(end_to_end), std::end(end_to_end), is)) return false;
    return std::any_of(index_.begin(), index_.end(), [&](const Field& f) {
        return equal_ignoring_case(name(f), "Connection") && list_contains(value(f), wanted);
    });
}

void HttpReader::append_forwarded_fields(std::string& to,
                                         std::initializer_list<std::string_view> excluded) const {
    for (const Field& f : index_) {
        const auto is = [&](std::string_view other) { return equal_ignoring_case(name(f), other); };
        if (is_hop_by_hop(name(f)) || std::any_of(excluded.begin(), excluded.end(), is)) continue;
        to.append(name(f)).append(": ").append(value(f)).append("\r\n");
    }
}

}  // namespace dewweir::net
