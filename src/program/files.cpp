#include "program/files.h"

#include <array>
#include <fstream>

namespace dewweir::program {

FileResult read_file(const std::string& path) {
    constexpr std::size_t chunk_bytes = 64u << 10;
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, chunk_bytes> chunk{};
    while (file.read(chunk.data(), chunk.size()) || file.gcount() > 0) {
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    // A directory can be opened, but reading it fails.
    if (!file.is_open() || file.bad())
        return Failure{ExitCode::unreadable_file, "file " + path + " cannot be read", {}};
    return FileText{std::move(text)};
}

}  // namespace dewweir::program
