// Parsing of the command line: the resulting arguments, and the errors for invalid command lines.
#include "program/arguments.h"

#include <catch2/catch.hpp>
#include <set>

namespace dewweir::program {
namespace {

const Environment empty_environment{};

Arguments accepted(const std::vector<std::string>& words,
                   const Environment& environment = empty_environment) {
    const ArgumentResult result = parse_arguments(words, environment);
    INFO((std::holds_alternative<Failure>(result) ? std::get<Failure>(result).reason : std::string()));
    REQUIRE(std::holds_alternative<Arguments>(result));
    return std::get<Arguments>(result);
}

Failure rejected(const std::vector<std::string>& words, const Environment& environment = empty_environment) {
    const ArgumentResult result = parse_arguments(words, environment);
    REQUIRE(std::holds_alternative<Failure>(result));
    return std::get<Failure>(result);
}

TEST_CASE("options may appear anywhere, and --control overrides the environment") {
    const Environment environment{"10.0.0.9:1"};
    const Arguments put = accepted({"config", "--control", "10.0.0.4:8080,core.example:81", "put", "new.json",
                                    "--if-match", "0000000C", "--json", "--timeout", "1.5s"},
                                   environment);
    CHECK(put.command == CommandName::config_put);
    CHECK(put.operand == "new.json");
    CHECK(put.controls == std::vector<ControlAddress>{{"10.0.0.4", "8080"}, {"core.example", "81"}});
    CHECK(put.if_match == configuration::Version{12});
    CHECK(put.json);
    CHECK(put.timeout == std::chrono::milliseconds(1500));

    const Arguments status = accepted({"status"}, environment);
    CHECK(status.controls == std::vector<ControlAddress>{{"10.0.0.9", "1"}});
    CHECK(status.timeout == default_timeout);
    CHECK_FALSE(status.if_match);
    CHECK(accepted({"evacuate", "north-1", "--undo"}, environment).undo);
}

TEST_CASE("commands that call no control plane need no address of one") {
    CHECK(accepted({"config", "check", "a.json"}).command == CommandName::config_check);
    CHECK(accepted({"explain-settings"}).command == CommandName::explain_settings);
    CHECK(accepted({"check-settings", "a.conf"}).command == CommandName::check_settings);
    CHECK(accepted({"--help"}).command == CommandName::help);
    CHECK(accepted({"config", "put", "--help"}).command == CommandName::help);
    CHECK(accepted({"--version"}).command == CommandName::version);
}

TEST_CASE("an invalid command line is rejected with the reason") {
    const Environment environment{"10.0.0.9:1"};
    struct InvalidCommand {
        std::vector<std::string> words;
        std::string reason;
    };
    const std::vector<InvalidCommand> invalid_commands = {
        {{}, "no command is given"},
        {{"stats"}, "no command is named stats"},
        {{"config"}, "config alone is no command"},
        {{"config", "drop"}, "config drop is no command"},
        {{"config", "put"}, "config put: FILE is missing"},
        {{"config", "get", "x"}, "config get: too many words, from x on"},
        {{"evacuate", ""}, "evacuate: ZONE is empty"},
        {{"evacuate", "north/1"}, "north/1 is no name of a zone"},
        {{"status", "--undo"}, "--undo does not go with status"},
        {{"config", "get", "--if-match", "0"}, "--if-match does not go with config get"},
        {{"config", "put", "f", "--if-match", "12"}, "--if-match: 12 is no version"},
        {{"explain-settings", "--json"}, "--json does not go with explain-settings"},
        {{"status", "--timeout", "8"}, "--timeout: 8 is no time from 100ms to 600s"},
        {{"status", "--timeout", "99ms"}, "--timeout: 99ms is no time from 100ms to 600s"},
        {{"status", "--control", "10.0.0.4"}, "--control: 10.0.0.4 is no address"},
        {{"status", "--control", "10.0.0.4:0"}, "--control: 10.0.0.4:0 is no address"},
        {{"status", "--control", "10.0.0.4:1,,"}, "--control:  is no address"},
        {{"status", "--control", "10.0.0.4:65536"}, "--control: 10.0.0.4:65536 is no address"},
    };
    for (const InvalidCommand& invalid : invalid_commands) {
        const Failure failure = rejected(invalid.words, environment);
        CHECK(failure.reason == invalid.reason);
        CHECK(failure.code == ExitCode::usage);
    }
    CHECK(rejected({"status"}).reason == "no control plane is named");
    CHECK(rejected({"status", "--colour"}).code == ExitCode::usage);
}

TEST_CASE("every exit code has a distinct number and advice") {
    std::set<int> numbers;
    for (const ExitCodeRow& row : exit_code_table) {
        numbers.insert(number_of(row.code));
        CHECK_FALSE(row.meaning.empty());
        CHECK_FALSE(advice_of(row.code).empty());
    }
    CHECK(numbers.size() == exit_code_table.size());
}

TEST_CASE("a failure without its own advice shows that of its exit code") {
    const Failure failure{ExitCode::outcome_unknown, "no \"clear\" answer", {}};
    CHECK(describe_failure(failure, false) ==
          "dewweir: no \"clear\" answer\n  what to do: repeat the same command: repeating is safe\n");
    CHECK(describe_failure(failure, true) ==
          "{\"error\":\"no \\\"clear\\\" answer\",\"advice\":\"repeat the same command: repeating is safe\","
          "\"exit_code\":75}\n");
}

}  // namespace
}  // namespace dewweir::program
