// Files that are named on the command line.
#pragma once

#include <string>
#include <variant>

#include "program/failure.h"

namespace dewweir::program {

struct FileText {
    std::string text;
};

using FileResult = std::variant<FileText, Failure>;

FileResult read_file(const std::string& path);

}  // namespace dewweir::program
