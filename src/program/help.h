// The version of the program and the text of `dewweir --help`.
#pragma once

#include <string>
#include <string_view>

namespace dewweir::program {

constexpr std::string_view program_version = "0.10.0";

std::string help_text();

}  // namespace dewweir::program
