// Reads files that are named on the command line.
#pragma once

#include <string>
#include <variant>

#include "program/failure.h"

namespace dewweir::program {

struct FileText {
    std::string text;
};

using FileResult = std::variant<FileText, Failure>;

// Reads a whole file. Fails with ExitCode::unreadable_file.
FileResult read_file(const std::string& path);

}  // namespace dewweir::program
