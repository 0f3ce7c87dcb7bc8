// Validates how the bytes of a request are split into lines and chunks before http-parser reads them. The
// parser accepts bare line feeds, folded fields and space before a colon; two readers that split differently
// see different requests (request smuggling; RFC 9112, sections 2.2, 5.1, 5.2 and 7.1). Holds no bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dewweir::net {

class RequestFraming {
  public:
    // Expects a message head next.
    void begin_head();
    // Expects a chunked body and its trailer next.
    void begin_chunks();
    // Checks bytes up to the end of the head or of the chunked body, or up to the first wrong byte. Returns
    // the number of valid bytes.
    std::size_t check(std::string_view bytes);
    bool wrong() const { return place_ == Place::wrong; }

  private:
    enum class Place : std::uint8_t {
        before_head,  // empty lines may come first
        before_head_feed,
        start_line,
        line_start,  // of a field
        name,
        value,
        line_feed,
        last_line_feed,  // of the empty line
        chunk_start,
        chunk_size,
        chunk_extension,
        chunk_line_feed,
        chunk_data,
        chunk_data_return,
        chunk_data_feed,
        ended,
        wrong,
    };
    Place after(char byte);
    Place after_size(char byte);
    Place add_digit(int digit);

    Place place_ = Place::before_head;
    std::uint64_t chunk_left_ = 0;  // bytes of this chunk's data to come
};

}  // namespace dewweir::net
