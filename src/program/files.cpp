#include "program/files.h"

#include <array>
#include <fstream>

namespace dewweir::program {

FileResult read_file(const std::string& path) {
    constexpr std::size_t piece_bytes = 64u << 10;
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, piece_bytes> piece{};
    while (file.read(piece.data(), piece.size()) || file.gcount() > 0) {
        text.append(piece.data(), static_cast<std::size_t>(file.gcount()));
    }
    // A folder can be opened and not read.
    if (!file.is_open() || file.bad())
        return Failure{ExitCode::unreadable_file, "file " + path + " cannot be read", {}};
    return FileText{std::move(text)};
}

}  // namespace dewweir::program
