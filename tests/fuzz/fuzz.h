// What all fuzz targets use. A target must only crash, abort or hang where the code it tries is wrong.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// The entry that libFuzzer and the replay of the corpus call.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace dewweir::fuzz {

inline std::string_view text_of(const std::uint8_t* data, std::size_t size) {
    return {reinterpret_cast<const char*>(data), size};
}

// Ends the run with a finding where something that always holds does not.
inline void must_hold(bool holds) {
    if (!holds) std::abort();
}

}  // namespace dewweir::fuzz
