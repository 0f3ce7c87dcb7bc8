#include "program/explain_command.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "configuration/parser.h"
#include "explain/bounds.h"
#include "program/failure.h"
#include "program/files.h"

namespace dewweir::program {
namespace {

constexpr const char* settings_variable = "DEWWEIR_CONFIG";

// Prints the failure and returns its exit code.
int fail(const Failure& failure) {
    std::cerr << describe_failure(failure, false);
    return number_of(failure.code);
}

int explain(const std::string& settings_path, const std::string& configuration_path, int gateways) {
    const FileResult settings_file = read_file(settings_path);
    if (const auto* const failure = std::get_if<Failure>(&settings_file)) return fail(*failure);
    const FileResult configuration_file = read_file(configuration_path);
    if (const auto* const failure = std::get_if<Failure>(&configuration_file)) return fail(*failure);
    const settings::SettingsResult settings = settings::read_settings(std::get<FileText>(settings_file).text);
    if (const auto* const error = std::get_if<settings::SettingsError>(&settings)) {
        return fail(
            {ExitCode::bad_settings, settings_path + ": " + error->key + " is refused", error->advice});
    }
    const configuration::ParseResult configuration =
        configuration::parse_configuration(std::get<FileText>(configuration_file).text);
    if (const auto* const rejection = std::get_if<configuration::Rejection>(&configuration)) {
        const std::string reason = configuration_path + ": refused at " + rejection->path;
        return fail({ExitCode::bad_configuration, reason, rejection->advice});
    }
    std::cout << explain::explain_bounds(std::get<settings::Settings>(settings),
                                         std::get<configuration::Configuration>(configuration), gateways);
    return EXIT_SUCCESS;
}

}  // namespace

int explain_command(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("what the bounds of the rules come to for a configuration", ' ', "0.10.0");
        line.setExceptionHandling(false);  // TCLAP would exit with a code of its own
        TCLAP::UnlabeledValueArg<std::string> file("configuration", "path of the operator's JSON", true, "",
                                                   "FILE", line);
        TCLAP::ValueArg<int> gateways("g", "gateways", "how many gateways share the quotas", true, 1,
                                      "NUMBER", line);
        const char* const from_environment = std::getenv(settings_variable);
        TCLAP::ValueArg<std::string> settings("s", "settings", "path of the settings file", false,
                                              from_environment ? from_environment : "", "FILE", line);
        line.parse(argc, argv);
        if (gateways.getValue() < 1) {
            std::cerr << "dewweir: --gateways: 1 or more\n";
            return number_of(ExitCode::usage);
        }
        return explain(settings.getValue(), file.getValue(), gateways.getValue());
    } catch (const TCLAP::ExitException& exit_request) {  // after --help or --version
        return exit_request.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "dewweir: " << error.argId() << ": " << error.error() << "\n";
        return number_of(ExitCode::usage);
    }
}

}  // namespace dewweir::program
