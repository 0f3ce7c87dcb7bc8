// The system's program: `dewweir gateway`, `dewweir control-plane` and the operator's commands.
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string_view>

#include "control_plane/process.h"
#include "gateway/process.h"
#include "logging/log.h"
#include "program/explain_command.h"
#include "settings/settings.h"

namespace {

using namespace dewweir;

constexpr const char* settings_variable = "DEWWEIR_CONFIG";
constexpr int exit_bad_settings = 2;
constexpr int exit_bad_usage = 64;

int run_role(const std::string& role, const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        std::cerr << "dewweir: settings file " << path << " cannot be read: name it in " << settings_variable << "\n";
        return exit_bad_settings;
    }
    const settings::SettingsResult read = settings::read_settings(text.str());
    if (const auto* const error = std::get_if<settings::SettingsError>(&read)) {
        std::cerr << "dewweir: settings: " << error->key << ": " << error->advice << "\n";
        return exit_bad_settings;
    }
    const auto& settings = std::get<settings::Settings>(read);
    logging::start(settings.self.node, logging::Level::info);
    return role == "gateway" ? gateway::run(settings, path) : control_plane::run(settings);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 1 && std::string_view(argv[1]) == program::explain_command_name) {
        return program::explain_command(argc - 1, argv + 1);
    }
    try {
        TCLAP::CmdLine line("dewweir, a global load balancer", ' ', "0.10.0");
        std::vector<std::string> names = {"gateway", "control-plane"};
        TCLAP::ValuesConstraint<std::string> roles(names);
        TCLAP::UnlabeledValueArg<std::string> role("role", "what this process does", true, "", &roles, line);
        const char* const from_environment = std::getenv(settings_variable);
        TCLAP::ValueArg<std::string> file("s", "settings", "path of the settings file", false,
                                          from_environment ? from_environment : "", "FILE", line);
        line.parse(argc, argv);
        return run_role(role.getValue(), file.getValue());
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "dewweir: " << fault.argId() << ": " << fault.error() << "\n";
        return exit_bad_usage;
    }
}
