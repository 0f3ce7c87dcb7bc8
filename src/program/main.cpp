// Main function of `dewweir`: the processes `dewweir gateway` and `dewweir control-plane`, and the operator's
// commands.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "program/command.h"
#include "program/explain_command.h"
#include "program/roles.h"

namespace {

using namespace dewweir::program;

bool wants_json(const std::vector<std::string>& words) {
    return std::find(words.begin(), words.end(), "--json") != words.end();
}

// Prints the failure and returns its exit code.
int fail(const Failure& failure, bool as_json) {
    std::cerr << describe_failure(failure, as_json);
    return number_of(failure.code);
}

int run_operator_command(const std::vector<std::string>& words) {
    Environment environment;
    if (const char* const control = std::getenv(control_variable)) environment.control = control;
    const ArgumentResult parsed = parse_arguments(words, environment);
    if (const auto* const failure = std::get_if<Failure>(&parsed)) return fail(*failure, wants_json(words));
    const Arguments& arguments = std::get<Arguments>(parsed);
    RealTransport transport;
    const CommandResult result = run_command({arguments, transport, std::cout, std::cerr});
    std::cout.flush();
    if (const auto* const failure = std::get_if<Failure>(&result)) return fail(*failure, arguments.json);
    return number_of(std::get<ExitCode>(result));
}

}  // namespace

int main(int argc, char** argv) {
    if (names_role(argc, argv)) return run_role(argc, argv);
    if (argc > 1 && std::string_view(argv[1]) == explain_command_name)
        return explain_command(argc - 1, argv + 1);
    return run_operator_command(std::vector<std::string>(argv + 1, argv + argc));
}
