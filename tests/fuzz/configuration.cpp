// Any text as the operator's configuration: taken whole or refused.
#include "configuration/parser.h"
#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static_cast<void>(dewweir::configuration::parse_configuration(dewweir::fuzz::text_of(data, size)));
    return 0;
}
