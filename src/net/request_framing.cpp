#include "request_framing.h"

#include <algorithm>
#include <limits>

namespace dewweir::net {
namespace {

constexpr char carriage_return = '\r';
constexpr char line_feed = '\n';
constexpr int no_digit = -1;

bool is_space(char byte) { return byte == ' ' || byte == '\t'; }

// Of a start line, a field's value or a chunk's extension.
bool is_control(char byte) {
    constexpr unsigned char first_visible = 0x20;
    constexpr unsigned char rubout = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return (code < first_visible && byte != '\t') || code == rubout;
}

int hexadecimal(char byte) {
    if (byte >= '0' && byte <= '9') return byte - '0';
    if (byte >= 'a' && byte <= 'f') return byte - 'a' + 10;
    if (byte >= 'A' && byte <= 'F') return byte - 'A' + 10;
    return no_digit;
}

}  // namespace

void RequestFraming::begin_head() { place_ = Place::before_head; }

void RequestFraming::begin_chunks() { place_ = Place::chunk_start; }

std::size_t RequestFraming::check(std::string_view bytes) {
    std::size_t at = 0;
    while (at < bytes.size() && place_ != Place::ended) {
        if (place_ == Place::chunk_data) {
            const std::uint64_t skipped = std::min<std::uint64_t>(chunk_left_, bytes.size() - at);
            at += skipped;
            chunk_left_ -= skipped;
            if (chunk_left_ == 0) place_ = Place::chunk_data_return;
            continue;
        }
        place_ = after(bytes[at]);
        if (place_ == Place::wrong) return at;
        ++at;
    }
    return at;
}

RequestFraming::Place RequestFraming::after(char byte) {
    const auto feed = [byte](Place next) { return byte == line_feed ? next : Place::wrong; };
    const auto text = [byte](Place next) { return is_control(byte) ? Place::wrong : next; };
    switch (place_) {
        case Place::before_head:
            if (byte == carriage_return) return Place::before_head_feed;
            return is_space(byte) ? Place::wrong : text(Place::start_line);
        case Place::before_head_feed: return feed(Place::before_head);
        case Place::start_line:
            if (byte == carriage_return) return Place::line_feed;
            return byte == '\t' ? Place::wrong : text(Place::start_line);
        case Place::line_start:
            if (byte == carriage_return) return Place::last_line_feed;
            if (byte == ':') return Place::wrong;
            [[fallthrough]];
        case Place::name:
            if (byte == ':') return Place::value;
            return is_space(byte) ? Place::wrong : text(Place::name);
        case Place::value: return byte == carriage_return ? Place::line_feed : text(Place::value);
        case Place::line_feed: return feed(Place::line_start);
        case Place::last_line_feed: return feed(Place::ended);
        case Place::chunk_start: chunk_left_ = 0; return add_digit(hexadecimal(byte));
        case Place::chunk_size: return after_size(byte);
        case Place::chunk_extension:
            return byte == carriage_return ? Place::chunk_line_feed : text(Place::chunk_extension);
        case Place::chunk_line_feed: return feed(chunk_left_ > 0 ? Place::chunk_data : Place::line_start);
        case Place::chunk_data_return: return byte == carriage_return ? Place::chunk_data_feed : Place::wrong;
        case Place::chunk_data_feed: return feed(Place::chunk_start);
        case Place::chunk_data:
        case Place::ended:
        case Place::wrong: break;
    }
    return Place::wrong;
}

RequestFraming::Place RequestFraming::after_size(char byte) {
    if (byte == ';') return Place::chunk_extension;
    if (byte == carriage_return) return Place::chunk_line_feed;
    return add_digit(hexadecimal(byte));
}

RequestFraming::Place RequestFraming::add_digit(int digit) {
    constexpr int bits_per_digit = 4;
    constexpr std::uint64_t most = std::numeric_limits<std::uint64_t>::max() >> bits_per_digit;
    if (digit == no_digit || chunk_left_ > most) return Place::wrong;
    chunk_left_ = chunk_left_ << bits_per_digit | static_cast<std::uint64_t>(digit);
    return Place::chunk_size;
}

}  // namespace dewweir::net
