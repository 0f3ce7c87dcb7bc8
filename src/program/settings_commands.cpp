// `dewweir explain-settings` describes all keys of a settings file; `dewweir check-settings FILE` validates
// one.
#include "program/command.h"
#include "program/files.h"
#include "program/json_text.h"
#include "settings/settings.h"

namespace dewweir::program {

CommandResult explain_settings(const Command& command) {
    command.out << settings::describe_settings();
    return ExitCode::done;
}

CommandResult check_settings(const Command& command) {
    const std::string& path = command.arguments.operand;
    const FileResult file = read_file(path);
    if (const auto* const failure = std::get_if<Failure>(&file)) return *failure;
    const settings::SettingsResult read = settings::read_settings(std::get<FileText>(file).text);
    if (const auto* const error = std::get_if<settings::SettingsError>(&read)) {
        return Failure{ExitCode::bad_settings, path + ": " + error->key + " is refused", error->advice};
    }
    const settings::Self& self = std::get<settings::Settings>(read).self;
    if (command.arguments.json) {
        JsonText json;
        json.begin_object();
        json.text("node", self.node);
        json.text("role", self.role);
        json.text("zone", self.zone);
        json.end_object();
        command.out << json.line();
        return ExitCode::done;
    }
    command.out << path << ": valid: " << self.node << ", " << self.role << " in zone " << self.zone << "\n";
    return ExitCode::done;
}

}  // namespace dewweir::program
