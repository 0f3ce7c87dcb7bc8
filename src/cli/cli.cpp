#include "cli.h"

#include <limits.h>
#include <unistd.h>

#include <iostream>

#include "commands.h"
#include "errors/errors.h"

namespace dewweir::cli {

std::string gateway_file() {
    char path[PATH_MAX];
    const ssize_t n = ::readlink("/proc/self/exe", path, sizeof path - 1);
    const std::string own(path, n > 0 ? static_cast<std::size_t>(n) : 0);
    const std::size_t end = own.rfind("-tools");
    if (end == own.npos)
        throw errors::CannotStart(own, "cannot tell where the gateway's program is",
                                  "start it as `dewweir SUB-COMMAND`, with `dewweir-tools` beside it");
    return own.substr(0, end);
}

int run(int argc, char** argv) {
    CLI::App app{
        "dewweir: an admission gateway for services sold by plan.\n"
        "Without a sub-command it is the gateway, configured by the file that EDGE_CONFIG names."};
    app.require_subcommand(1);
    int end = fine;
    add_files(app, end);
    add_rollout(app, end);
    add_members(app, end);
    add_experiments(app, end);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& fault) {
        return app.exit(fault) == 0 ? fine : cannot;
    } catch (const std::exception& fault) {
        std::cerr << errors::describe(fault);
        return errors::exit_code_of(fault);
    }
    return end;
}

}  // namespace dewweir::cli
