#include "program/roles.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "control_plane/process.h"
#include "gateway/process.h"
#include "logging/log.h"
#include "program/exit_codes.h"
#include "program/failure.h"
#include "program/files.h"
#include "program/help.h"
#include "settings/settings.h"

namespace dewweir::program {
namespace {

constexpr const char* settings_variable = "DEWWEIR_CONFIG";
constexpr std::string_view gateway_role = "gateway";
constexpr std::string_view control_plane_role = "control-plane";

// Reads the settings file and runs the process of that role; returns its exit code.
int start_role(const std::string& role, const std::string& path) {
    const FileResult file = read_file(path);
    if (const auto* const failure = std::get_if<Failure>(&file)) {
        const std::string advice = std::string("name the settings file in ") + settings_variable;
        std::cerr << describe_failure({failure->code, failure->reason, advice}, false);
        return number_of(failure->code);
    }
    const settings::SettingsResult read = settings::read_settings(std::get<FileText>(file).text);
    if (const auto* const error = std::get_if<settings::SettingsError>(&read)) {
        std::cerr << "dewweir: settings: " << error->key << ": " << error->advice << "\n";
        return number_of(ExitCode::bad_settings);
    }
    const auto& settings = std::get<settings::Settings>(read);
    logging::start(settings.self.node, logging::Level::info);
    return role == gateway_role ? gateway::run(settings, path) : control_plane::run(settings, path);
}

}  // namespace

bool names_role(int argc, const char* const* argv) {
    if (argc < 2) return false;
    const std::string_view first = argv[1];
    return first == gateway_role || first == control_plane_role || first == "-s" || first == "--settings";
}

int run_role(int argc, const char* const* argv) {
    try {
        TCLAP::CmdLine line("dewweir, a global load balancer", ' ', std::string(program_version));
        std::vector<std::string> names = {std::string(gateway_role), std::string(control_plane_role)};
        TCLAP::ValuesConstraint<std::string> roles(names);
        TCLAP::UnlabeledValueArg<std::string> role("role", "what this process does", true, "", &roles, line);
        const char* const from_environment = std::getenv(settings_variable);
        TCLAP::ValueArg<std::string> file("s", "settings", "path of the settings file", false,
                                          from_environment ? from_environment : "", "FILE", line);
        line.parse(argc, argv);
        return start_role(role.getValue(), file.getValue());
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "dewweir: " << error.argId() << ": " << error.error() << "\n";
        return number_of(ExitCode::usage);
    }
}

}  // namespace dewweir::program
