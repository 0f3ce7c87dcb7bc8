// The text of `dewweir --help` and the version.
#pragma once

#include <string>
#include <string_view>

namespace dewweir::program {

constexpr std::string_view program_version = "0.10.0";

std::string help_text();

}  // namespace dewweir::program
