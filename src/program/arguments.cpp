#include "program/arguments.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "settings/duration.h"

namespace dewweir::program {
namespace {

constexpr std::size_t largest_port = 65535;

enum class CallsControlPlane : bool { no, yes };

// One command: its words, its operand and whether it calls a control plane.
struct CommandRow {
    CommandName name;
    std::string_view first;
    std::string_view second;   // empty for a command of one word
    std::string_view operand;  // empty if it takes none
    CallsControlPlane calls;
};

constexpr std::array command_table = {
    CommandRow{CommandName::config_get, "config", "get", "", CallsControlPlane::yes},
    CommandRow{CommandName::config_put, "config", "put", "FILE", CallsControlPlane::yes},
    CommandRow{CommandName::config_diff, "config", "diff", "FILE", CallsControlPlane::yes},
    CommandRow{CommandName::config_check, "config", "check", "FILE", CallsControlPlane::no},
    CommandRow{CommandName::config_history, "config", "history", "", CallsControlPlane::yes},
    CommandRow{CommandName::evacuate, "evacuate", "", "ZONE", CallsControlPlane::yes},
    CommandRow{CommandName::members, "members", "", "", CallsControlPlane::yes},
    CommandRow{CommandName::status, "status", "", "", CallsControlPlane::yes},
    CommandRow{CommandName::explain_settings, "explain-settings", "", "", CallsControlPlane::no},
    CommandRow{CommandName::check_settings, "check-settings", "", "FILE", CallsControlPlane::no},
};

Failure usage_failure(std::string reason, std::string advice = {}) {
    return {ExitCode::usage, std::move(reason), std::move(advice)};
}

std::string full_name(const CommandRow& row) {
    std::string name(row.first);
    if (!row.second.empty()) name.append(" ").append(row.second);
    return name;
}

// Options and words of the command line, not yet validated.
struct RawOptions {
    std::string control;
    std::string if_match;
    std::string timeout;
    bool undo = false;
    bool json = false;
    bool help = false;
    bool version = false;
    std::vector<std::string> words;
};

// Splits the command line into options and words. Two peculiarities of TCLAP: it distinguishes arguments by
// their descriptions too, so these must differ; and once a process has created an optional argument without
// a name, it rejects any further one. The words are therefore declared as required, and a placeholder is put
// before them.
std::variant<RawOptions, Failure> read_options(const std::vector<std::string>& words) {
    TCLAP::CmdLine line("dewweir", ' ', "", false);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> control("", "control", "control planes", false, "", "HOST:PORT", line);
    TCLAP::ValueArg<std::string> if_match("", "if-match", "base version", false, "", "VERSION", line);
    TCLAP::ValueArg<std::string> timeout("", "timeout", "longest call", false, "", "DURATION", line);
    TCLAP::SwitchArg undo("", "undo", "withdraw", line);
    TCLAP::SwitchArg json("", "json", "print JSON", line);
    TCLAP::SwitchArg help("h", "help", "print help", line);
    TCLAP::SwitchArg version("", "version", "print the version", line);
    TCLAP::UnlabeledMultiArg<std::string> rest("words", "command", true, "WORD", line);
    std::vector<std::string> all{"dewweir", "placeholder"};
    all.insert(all.end(), words.begin(), words.end());
    try {
        line.parse(all);
    } catch (const TCLAP::ArgException& error) { return usage_failure(error.argId() + ": " + error.error()); }
    std::vector<std::string> command = rest.getValue();
    command.erase(command.begin());
    return RawOptions{control.getValue(), if_match.getValue(), timeout.getValue(), undo.getValue(),
                      json.getValue(),    help.getValue(),     version.getValue(), std::move(command)};
}

std::variant<const CommandRow*, Failure> find_command(const std::vector<std::string>& words) {
    bool first_known = false;
    for (const CommandRow& row : command_table) {
        if (row.first != words[0]) continue;
        first_known = true;
        if (row.second.empty()) return &row;
        if (words.size() > 1 && row.second == words[1]) return &row;
    }
    if (!first_known) return usage_failure("no command is named " + words[0]);
    const std::string given = words.size() > 1 ? words[0] + " " + words[1] : words[0] + " alone";
    return usage_failure(given + " is no command", "use config get, put, diff, check or history");
}

std::variant<std::string, Failure> read_operand(const CommandRow& row,
                                                const std::vector<std::string>& words) {
    const std::size_t command_words = row.second.empty() ? 1 : 2;
    const std::size_t given = words.size() - command_words;
    const std::size_t expected = row.operand.empty() ? 0 : 1;
    if (given < expected) {
        const std::string operand(row.operand);
        return usage_failure(full_name(row) + ": " + operand + " is missing",
                             "write dewweir " + full_name(row) + " " + operand);
    }
    if (given > expected) {
        return usage_failure(full_name(row) + ": too many words, from " + words[command_words + expected] +
                             " on");
    }
    if (expected == 0) return std::string();
    if (words[command_words].empty())
        return usage_failure(full_name(row) + ": " + std::string(row.operand) + " is empty");
    return words[command_words];
}

bool is_name_character(char character) {
    const bool digit = character >= '0' && character <= '9';
    const bool lower = character >= 'a' && character <= 'z';
    const bool upper = character >= 'A' && character <= 'Z';
    return digit || lower || upper || character == '-' || character == '_' || character == '.';
}

std::optional<Failure> check_zone(const std::string& zone) {
    if (std::all_of(zone.begin(), zone.end(), is_name_character)) return std::nullopt;
    return usage_failure(zone + " is no name of a zone", "names of zones hold letters, digits, - . and _");
}

std::variant<std::vector<ControlAddress>, Failure> read_controls(const std::string& text) {
    const std::string advice = "write HOST:PORT, several joined by commas";
    std::vector<ControlAddress> controls;
    std::string_view rest = text;
    while (!rest.empty()) {
        const std::string_view item = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(item.size() + 1, rest.size()));
        const std::optional<ControlAddress> address = parse_control_address(item);
        if (!address) return usage_failure("--control: " + std::string(item) + " is no address", advice);
        controls.push_back(*address);
    }
    if (controls.empty()) {
        return usage_failure("no control plane is named",
                             std::string("give --control HOST:PORT or set ") + control_variable);
    }
    return controls;
}

std::variant<std::chrono::milliseconds, Failure> read_timeout(const std::string& text) {
    if (text.empty()) return default_timeout;
    const settings::ParsedDuration parsed = settings::parse_duration(text);
    if (!parsed.error && parsed.value >= shortest_timeout && parsed.value <= longest_timeout)
        return parsed.value;
    return usage_failure("--timeout: " + text + " is no time from 100ms to 600s", "write it as 1500ms or 8s");
}

std::optional<Failure> check_options(const CommandRow& row, const RawOptions& options) {
    if (!options.if_match.empty() && row.name != CommandName::config_put) {
        return usage_failure("--if-match does not go with " + full_name(row), "it belongs to config put");
    }
    if (options.undo && row.name != CommandName::evacuate) {
        return usage_failure("--undo does not go with " + full_name(row), "it belongs to evacuate");
    }
    if (options.json && row.name == CommandName::explain_settings) {
        return usage_failure("--json does not go with explain-settings", "its table is Markdown");
    }
    return std::nullopt;
}

ArgumentResult to_arguments(const CommandRow& row, const RawOptions& options,
                            const Environment& environment) {
    Arguments arguments;
    arguments.command = row.name;
    arguments.json = options.json;
    arguments.undo = options.undo;
    if (auto failure = check_options(row, options)) return *failure;
    auto operand = read_operand(row, options.words);
    if (auto* const failure = std::get_if<Failure>(&operand)) return *failure;
    arguments.operand = std::get<std::string>(operand);
    if (row.name == CommandName::evacuate) {
        if (auto failure = check_zone(arguments.operand)) return *failure;
    }
    if (!options.if_match.empty()) {
        arguments.if_match = configuration::parse_if_match(options.if_match);
        if (!arguments.if_match) {
            return usage_failure("--if-match: " + options.if_match + " is no version",
                                 "write eight hexadecimal digits, or 0 for the first configuration");
        }
    }
    const auto timeout = read_timeout(options.timeout);
    if (const auto* const failure = std::get_if<Failure>(&timeout)) return *failure;
    arguments.timeout = std::get<std::chrono::milliseconds>(timeout);
    if (row.calls == CallsControlPlane::no) return arguments;
    const auto controls =
        read_controls(options.control.empty() ? environment.control.value_or("") : options.control);
    if (const auto* const failure = std::get_if<Failure>(&controls)) return *failure;
    arguments.controls = std::get<std::vector<ControlAddress>>(controls);
    return arguments;
}

}  // namespace

std::string to_string(const ControlAddress& address) { return address.host + ":" + address.port; }

std::optional<ControlAddress> parse_control_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return std::nullopt;
    const std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (!std::all_of(host.begin(), host.end(), is_name_character)) return std::nullopt;
    std::size_t number = 0;
    const char* const end = port.data() + port.size();
    const std::from_chars_result read = std::from_chars(port.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end || number == 0 || number > largest_port)
        return std::nullopt;
    return ControlAddress{std::string(host), std::string(port)};
}

ArgumentResult parse_arguments(const std::vector<std::string>& words, const Environment& environment) {
    const auto read = read_options(words);
    if (const auto* const failure = std::get_if<Failure>(&read)) return *failure;
    const RawOptions& options = std::get<RawOptions>(read);
    if (options.help || (options.words.size() == 1 && options.words[0] == "help")) {
        return Arguments{.command = CommandName::help};
    }
    if (options.version) return Arguments{.command = CommandName::version};
    if (options.words.empty()) return usage_failure("no command is given");
    const auto command = find_command(options.words);
    if (const auto* const failure = std::get_if<Failure>(&command)) return *failure;
    return to_arguments(*std::get<const CommandRow*>(command), options, environment);
}

}  // namespace dewweir::program
