// What an operator file can set, with what holds without one. The gateway knows this and no more of the file.
#pragma once

#include <string>

namespace dewweir {

struct OperatorFile {
    std::string log_level = "info";
    std::string log_format = "text";
    int log_lines = 100;  // a second
};

}  // namespace dewweir
