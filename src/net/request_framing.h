// Checks how a request's bytes are cut into lines and chunks, before the parser reads them: http-parser takes
// bare line feeds, folded fields and space before a colon, and two readers that cut otherwise see two
// different requests (RFC 9112, sections 2.2, 5.1, 5.2 and 7.1). It must never hold a byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dewweir::net {

class RequestFraming {
  public:
    // A head follows.
    void begin_head();
    // A body in chunks follows, with its trailer.
    void begin_chunks();
    // Goes over bytes up to the end of the head or the chunks, or up to the first wrong byte. Returns how
    // many are right.
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
