// The operator's command line: read and checked before anything else happens. Pure: the environment is handed
// in.
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

// Where a control plane takes operators' calls.
struct ControlAddress {
    std::string host;  // a name or an IPv4 address
    std::string port;

    bool operator==(const ControlAddress&) const = default;
};

std::string to_string(const ControlAddress& address);

// HOST:PORT; nothing for any other text.
std::optional<ControlAddress> parse_control_address(std::string_view text);

struct Arguments {
    CommandName command = CommandName::help;
    std::string operand{};                   // FILE or ZONE; empty where the command takes none
    std::vector<ControlAddress> controls{};  // at least one for commands that call a control plane
    std::optional<configuration::Version> if_match{};
    bool undo = false;
    bool json = false;
    std::chrono::milliseconds timeout{0};  // for all tries of a call together
};

// What the environment says, nothing where a variable is not set.
struct Environment {
    std::optional<std::string> control;  // DEWWEIR_CONTROL
};

constexpr const char* control_variable = "DEWWEIR_CONTROL";
constexpr std::chrono::milliseconds default_timeout{8'000};
constexpr std::chrono::milliseconds shortest_timeout{100};
constexpr std::chrono::milliseconds longest_timeout{600'000};

using ArgumentResult = std::variant<Arguments, Failure>;

// `words`: the command line without the program's name.
ArgumentResult parse_arguments(const std::vector<std::string>& words, const Environment& environment);

}  // namespace dewweir::program
