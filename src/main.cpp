// Entry point: without arguments runs the gateway. With arguments it executes the tools program next to it,
// which keeps the tools' code out of the gateway: linked in, it made the idle process a sixth larger.
#include <limits.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <iostream>
#include <string>

#include "serve.h"

int main(int argc, char** argv) {
    if (argc <= 1) return dewweir::serve(nullptr);
    char path[PATH_MAX];
    const ssize_t n = ::readlink("/proc/self/exe", path, sizeof path - 1);
    const std::string tools = std::string(path, n > 0 ? static_cast<std::size_t>(n) : 0) + "-tools";
    ::execv(tools.c_str(), argv);
    std::cerr << "dewweir: the sub-commands' program " << tools << ": " << std::strerror(errno) << '\n';
    return 2;
}
