#include "program/configuration_call.h"

#include "api/status.h"
#include "configuration/parser.h"
#include "program/answers.h"
#include "program/files.h"

namespace dewweir::program {

std::variant<CheckedFile, Failure> read_configuration_file(const std::string& path) {
    FileResult file = read_file(path);
    if (const auto* const failure = std::get_if<Failure>(&file)) return *failure;
    std::string& text = std::get<FileText>(file).text;
    configuration::ParseResult parsed = configuration::parse_proposal(text);
    if (const auto* const rejection = std::get_if<configuration::Rejection>(&parsed)) {
        const std::string location = rejection->path.empty() ? "the whole text" : rejection->path;
        const std::string reason(configuration::to_string(rejection->reason));
        return Failure{ExitCode::bad_configuration, path + ": " + reason + " at " + location,
                       rejection->advice};
    }
    return CheckedFile{std::move(text), std::move(std::get<configuration::Configuration>(parsed))};
}

std::variant<ConfigurationInForce, Failure> read_in_force(ControlClient& client) {
    const CallResult result = client.call({"GET", configuration_target});
    if (const auto* const failure = std::get_if<Failure>(&result)) return *failure;
    const HttpResponse& response = std::get<HttpResponse>(result);
    if (response.status == static_cast<int>(api::Status::not_found)) return ConfigurationInForce{};
    if (response.status != static_cast<int>(api::Status::ok)) return failure_from_response(response);
    const std::optional<configuration::Version> version = parse_configuration_version(response.body);
    if (!version) return Failure{ExitCode::unexpected_answer, "the configuration in force has no epoch", {}};
    return ConfigurationInForce{*version, response.body};
}

}  // namespace dewweir::program
