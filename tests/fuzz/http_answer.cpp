// Any bytes as a host's answer: the same verdict whether they come at once or one by one.
#include "fuzz/http_pieces.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    dewweir::fuzz::read_in_pieces(HTTP_RESPONSE, dewweir::fuzz::text_of(data, size));
    return 0;
}
