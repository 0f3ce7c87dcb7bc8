// Validates a gateway configuration without starting anything and lists every error with its line. It
// accepts and refuses exactly what the gateway does, because it uses the same parser and a decision module
// that acts on nothing.
#pragma once

#include <string>
#include <vector>

#include "errors/bad_file.h"

namespace dewweir::net {

std::vector<errors::FileProblem> check_configuration(const std::string& text, const std::string& file);

}  // namespace dewweir::net
