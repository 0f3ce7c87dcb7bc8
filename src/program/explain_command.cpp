#include "program/explain_command.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "configuration/parser.h"
#include "explain/bounds.h"

namespace dewweir::program {
namespace {

constexpr const char* settings_variable = "DEWWEIR_CONFIG";
constexpr int exit_bad_file = 2;
constexpr int exit_bad_usage = 64;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (file) return text.str();
    std::cerr << "dewweir: " << path << " cannot be read\n";
    return std::nullopt;
}

int explain(const std::string& settings_path, const std::string& configuration_path, int gateways) {
    const std::optional<std::string> settings_text = read_file(settings_path);
    const std::optional<std::string> configuration_text = read_file(configuration_path);
    if (!settings_text || !configuration_text) return exit_bad_file;
    const settings::SettingsResult settings = settings::read_settings(*settings_text);
    if (const auto* const error = std::get_if<settings::SettingsError>(&settings)) {
        std::cerr << "dewweir: settings: " << error->key << ": " << error->advice << "\n";
        return exit_bad_file;
    }
    const configuration::ParseResult configuration = configuration::parse_configuration(*configuration_text);
    if (const auto* const rejection = std::get_if<configuration::Rejection>(&configuration)) {
        std::cerr << "dewweir: configuration: " << rejection->path << ": " << rejection->advice << "\n";
        return exit_bad_file;
    }
    std::cout << explain::explain_bounds(std::get<settings::Settings>(settings),
                                         std::get<configuration::Configuration>(configuration), gateways);
    return EXIT_SUCCESS;
}

}  // namespace

int explain_command(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("what the bounds of the rules come to for a configuration", ' ', "0.10.0");
        line.setExceptionHandling(false);  // it would end the process with a status of its own
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
            return exit_bad_usage;
        }
        return explain(settings.getValue(), file.getValue(), gateways.getValue());
    } catch (const TCLAP::ExitException& end) {  // after --help or --version
        return end.getExitStatus();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "dewweir: " << fault.argId() << ": " << fault.error() << "\n";
        return exit_bad_usage;
    }
}

}  // namespace dewweir::program
