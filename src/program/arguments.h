// Parses and validates the operator's command line before any command runs. Pure: environment variables are
// passed in.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/version.h"
#include "program/failure.h"

namespace dewweir::program {

enum class CommandName {
    config_get,
    config_put,
    config_diff,
    config_check,
    config_history,
    evacuate,
    members,
    status,
    explain_settings,
    check_settings,
    help,
    version,
};

// Address of a control plane's API for operators.
struct ControlAddress {
    std::string host;  // a name or an IPv4 address
    std::string port;

    bool operator==(const ControlAddress&) const = default;
};

std::string to_string(const ControlAddress& address);

// Parses HOST:PORT with a port from 1 to 65535; returns nothing for any other text.
std::optional<ControlAddress> parse_control_address(std::string_view text);

// A valid command line.
struct Arguments {
    CommandName command = CommandName::help;
    std::string operand{};                             // FILE or ZONE; empty if the command takes none
    std::vector<ControlAddress> controls{};            // at least one for commands that call a control plane
    std::optional<configuration::Version> if_match{};  // config put: version the file is based on
    bool undo = false;                                 // evacuate: withdraw the evacuation
    bool json = false;
    std::chrono::milliseconds timeout{0};  // for all attempts of one call together
};

// Environment variables that the command line depends on; absent if not set.
struct Environment {
    std::optional<std::string> control;  // DEWWEIR_CONTROL
};

constexpr const char* control_variable = "DEWWEIR_CONTROL";
constexpr std::chrono::milliseconds default_timeout{8'000};
constexpr std::chrono::milliseconds shortest_timeout{100};
constexpr std::chrono::milliseconds longest_timeout{600'000};

using ArgumentResult = std::variant<Arguments, Failure>;

// `words`: the command line without the program's name. Fails with ExitCode::usage.
ArgumentResult parse_arguments(const std::vector<std::string>& words, const Environment& environment);

}  // namespace dewweir::program
