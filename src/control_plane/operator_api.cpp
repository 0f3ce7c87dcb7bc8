#include "control_plane/operator_api.h"

#include "logging/log.h"

namespace dewweir::control_plane {
namespace {

constexpr std::string_view configuration_path = "/v1/config";
constexpr std::string_view evacuation_path = "/v1/evacuation/";
constexpr std::string_view status_path = "/v1/status";
constexpr std::string_view history_path = "/v1/history";
// Retry-After in seconds while no leader is known or an answer can't be given yet.
constexpr std::string_view retry_without_leader = "0.3";

// Logs the base version alone: the version of a rejected configuration may be unreadable.
void log_refusal(configuration::Version base, const configuration::Rejection& rejection) {
    logging::log(logging::Level::info, logging::Event::configuration_refused,
                 {{"base", static_cast<std::int64_t>(base.number)},
                  {"reason", configuration::to_string(rejection.reason)},
                  {"place", std::string_view(rejection.path)}});
}

api::Response rejected(const configuration::Rejection& rejection) {
    const std::string reason(configuration::to_string(rejection.reason));
    return {api::Status::bad_request, api::error_body(reason + " at " + rejection.path, rejection.advice)};
}

}  // namespace

OperatorApi::OperatorApi(api::Server& server, ReplicatedLog& log, const FleetServer& fleet)
    : server_(server), log_(log), fleet_(fleet) {
    declare_configuration();
    declare_evacuation();
    declare_status();
    declare_history();
}

void OperatorApi::declare_configuration() {
    server_.declare("PUT", configuration_path,
                    [this](const api::Request& request, const api::Respond& respond) {
                        put_configuration(request, respond);
                    });
    server_.declare("GET", configuration_path,
                    [this](const api::Request&, const api::Respond& respond) { get_configuration(respond); });
}

void OperatorApi::declare_evacuation() {
    server_.declare("POST", evacuation_path,
                    [this](const api::Request& request, const api::Respond& respond) {
                        set_evacuation(request, respond, true);
                    });
    server_.declare("DELETE", evacuation_path,
                    [this](const api::Request& request, const api::Respond& respond) {
                        set_evacuation(request, respond, false);
                    });
}

void OperatorApi::declare_status() {
    server_.declare("GET", status_path, [this](const api::Request&, const api::Respond& respond) {
        respond(
            {api::Status::ok, status_body(fleet_.self().node, log_status(), log_.state(), fleet_.view())});
    });
}

void OperatorApi::declare_history() {
    server_.declare("GET", history_path,
                    [this](const api::Request&, const api::Respond& respond) { get_history(respond); });
}

LogStatus OperatorApi::log_status() const {
    LogStatus status;
    status.is_leader = log_.is_leader();
    status.term = log_.term();
    status.commit_index = log_.commit_index();
    status.applied_index = log_.applied_index();
    status.staleness = fleet_.staleness();
    status.disk = log_.disk_state();
    status.members = log_.members();
    status.leader = log_.leader_address().value_or("");
    status.leader_control = fleet_.leader_control().value_or("");
    return status;
}

void OperatorApi::redirect(const std::string& path, const api::Respond& respond) const {
    const std::optional<std::string> leader = log_.is_leader() ? std::nullopt : fleet_.leader_control();
    if (leader && !leader->empty()) {
        api::Response response{api::Status::temporary_redirect};
        response.location = "http://" + *leader + path;
        return respond(response);
    }
    api::Response response{api::Status::service_unavailable,
                           api::error_body("no leader is known", "repeat the call, here or elsewhere")};
    response.retry_after = retry_without_leader;
    respond(response);
}

configuration::ParseResult OperatorApi::read_proposal(const std::string& text) const {
    configuration::ParseResult proposal = configuration::parse_proposal(text);
    if (std::holds_alternative<configuration::Configuration>(proposal)) return proposal;
    configuration::ParseResult readable = configuration::parse_configuration(text);
    const auto* const configuration = std::get_if<configuration::Configuration>(&readable);
    const bool accepted = configuration && log_.state().has_accepted(configuration->epoch.number, text);
    return accepted ? readable : proposal;
}

void OperatorApi::put_configuration(const api::Request& request, const api::Respond& respond) {
    const std::string path(configuration_path);
    const auto base = configuration::parse_if_match(request.if_match);
    const configuration::ParseResult parsed = read_proposal(request.body);
    if (const auto* const rejection = std::get_if<configuration::Rejection>(&parsed)) {
        log_refusal(base.value_or(configuration::Version{}), *rejection);
        return respond(rejected(*rejection));
    }
    if (!base) {
        return respond({api::Status::bad_request, api::error_body("If-Match is missing or malformed",
                                                                  "send the version this one builds on")});
    }
    const std::uint32_t version = std::get<configuration::Configuration>(parsed).epoch.number;
    logging::log(
        logging::Level::info, logging::Event::configuration_proposed,
        {{"base", static_cast<std::int64_t>(base->number)}, {"version", static_cast<std::int64_t>(version)}});
    propose(control::PutConfiguration{base->number, version, request.body}, path, respond);
}

void OperatorApi::get_configuration(const api::Respond& respond) {
    log_.read_barrier([this, respond](ProposalError error) {
        if (error != ProposalError::none) return redirect(std::string(configuration_path), respond);
        const wire::ConfigurationUpdate& configuration = log_.state().configuration();
        if (configuration.version == 0) {
            return respond({api::Status::not_found, api::error_body("no configuration is in force",
                                                                    "put the first one with If-Match: 0")});
        }
        respond({api::Status::ok, configuration.text});
    });
}

void OperatorApi::get_history(const api::Respond& respond) {
    log_.read_barrier([this, respond](ProposalError error) {
        if (error != ProposalError::none) return redirect(std::string(history_path), respond);
        respond({api::Status::ok, history_body(log_.state())});
    });
}

void OperatorApi::set_evacuation(const api::Request& request, const api::Respond& respond, bool evacuated) {
    const std::string path(request.path);
    if (request.rest.empty()) {
        return respond({api::Status::bad_request, api::error_body("no zone", "name the zone in the path")});
    }
    propose(control::SetEvacuation{std::string(request.rest), evacuated}, path, respond);
}

void OperatorApi::propose(const control::Command& command, const std::string& path,
                          const api::Respond& respond) {
    log_.propose(command, [this, path, respond](const ProposalResult& result) {
        if (result.error != ProposalError::none) return redirect(path, respond);
        switch (result.outcome) {
            case control::Outcome::accepted: return respond({api::Status::ok});
            case control::Outcome::version_conflict:
                return respond({api::Status::precondition_failed,
                                api::error_body("another version is in force", "read it and build on it")});
            case control::Outcome::expired: {
                api::Response response{api::Status::service_unavailable,
                                       api::error_body("whether this old version was accepted is not known",
                                                       "read the version in force")};
                response.retry_after = retry_without_leader;
                return respond(response);
            }
            case control::Outcome::not_newer:
                return respond(
                    {api::Status::bad_request,
                     api::error_body("epoch is not greater than the one in force", "raise epoch")});
        }
    });
}

}  // namespace dewweir::control_plane
