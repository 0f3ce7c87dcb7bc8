// Looks a platform configuration over without starting anything: lists every fault at once, each with its
// line. It must never accept what the gateway would refuse at its start, nor refuse what that would accept:
// it reads as the gateway reads, and asks a decision module that acts on nobody.
#pragma once

#include <string>
#include <vector>

#include "errors/bad_file.h"

namespace dewweir::net {

std::vector<errors::FileProblem> check_configuration(const std::string& text, const std::string& file);

}  // namespace dewweir::net
