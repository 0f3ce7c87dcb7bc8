#include "program/answers.h"

#include <rapidjson/document.h>

#include "api/status.h"

namespace dewweir::program {
namespace {

// Reads the fields of one JSON object. complete() is false once a field was missing or had the wrong type.
class ObjectReader {
  public:
    explicit ObjectReader(const rapidjson::Value& value) : value_(value), complete_(value.IsObject()) {}

    bool complete() const { return complete_; }

    std::string text(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsString()) return {found->GetString(), found->GetStringLength()};
        complete_ = false;
        return {};
    }

    std::uint64_t number(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsUint64()) return found->GetUint64();
        complete_ = false;
        return 0;
    }

    bool flag(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsBool()) return found->GetBool();
        complete_ = false;
        return false;
    }

    // Reads a list whose elements `read` converts; it returns nothing for an element it cannot convert.
    template <class Element, class Read> std::vector<Element> list(const char* name, const Read& read) {
        std::vector<Element> elements;
        const rapidjson::Value* const found = find(name);
        if (!found || !found->IsArray()) {
            complete_ = false;
            return elements;
        }
        for (const rapidjson::Value& value : found->GetArray()) {
            std::optional<Element> element = read(value);
            complete_ = complete_ && element.has_value();
            if (element) elements.push_back(std::move(*element));
        }
        return elements;
    }

    const rapidjson::Value* find(const char* name) const {
        if (!value_.IsObject()) return nullptr;
        const auto found = value_.FindMember(name);
        return found == value_.MemberEnd() ? nullptr : &found->value;
    }

  private:
    const rapidjson::Value& value_;
    bool complete_;
};

std::optional<std::string> read_text(const rapidjson::Value& value) {
    if (!value.IsString()) return std::nullopt;
    return std::string(value.GetString(), value.GetStringLength());
}

std::optional<MemberStatus> read_member(const rapidjson::Value& value) {
    ObjectReader reader(value);
    MemberStatus member;
    member.node = reader.text("node");
    member.role = reader.text("role");
    member.zone = reader.text("zone");
    member.region = reader.text("region");
    member.ready = reader.flag("ready");
    member.internal = reader.text("internal");
    member.front = reader.text("front");
    member.control = reader.text("control");
    if (!reader.complete()) return std::nullopt;
    return member;
}

std::optional<ServiceStatus> read_service(const rapidjson::Value& value) {
    ObjectReader reader(value);
    ServiceStatus service;
    service.service = reader.text("service");
    service.ready = reader.number("ready");
    service.draining = reader.number("draining");
    if (!reader.complete()) return std::nullopt;
    return service;
}

std::optional<AcceptedVersion> read_version(const rapidjson::Value& value) {
    ObjectReader reader(value);
    AcceptedVersion accepted;
    accepted.position = reader.number("position");
    accepted.version = reader.text("version");
    accepted.hash = reader.text("hash");
    accepted.in_force = reader.flag("in_force");
    if (reader.find("bytes")) accepted.bytes = reader.number("bytes");
    if (!reader.complete()) return std::nullopt;
    return accepted;
}

std::optional<ReplicaStatus> read_replica(const rapidjson::Value& value) {
    ObjectReader reader(value);
    ReplicaStatus replica;
    replica.address = reader.text("address");
    replica.part = reader.text("part");
    if (reader.find("behind")) replica.behind = reader.number("behind");
    if (reader.find("silent_ms")) replica.silent_ms = reader.number("silent_ms");
    if (!reader.complete()) return std::nullopt;
    return replica;
}

ExitCode exit_code_for(int status) {
    switch (static_cast<api::Status>(status)) {
        case api::Status::precondition_failed: return ExitCode::version_conflict;
        case api::Status::bad_request:
        case api::Status::content_too_large:
        case api::Status::unprocessable_content: return ExitCode::bad_configuration;
        default: return ExitCode::unexpected_answer;
    }
}

}  // namespace

std::optional<Status> parse_status(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    ObjectReader reader(document);
    Status status;
    status.node = reader.text("node");
    status.leads = reader.flag("leads");
    status.term = reader.number("term");
    status.leader_control = reader.text("leader_control");
    status.commit_index = reader.number("commit_index");
    status.applied_index = reader.number("applied_index");
    status.configuration = reader.text("configuration");
    status.evacuated_zones = reader.list<std::string>("evacuated_zones", read_text);
    status.instances = reader.list<ServiceStatus>("instances", read_service);
    status.instance_zones = reader.list<std::string>("instance_zones", read_text);
    status.members = reader.list<MemberStatus>("members", read_member);
    if (reader.find("staleness_ms")) status.staleness_ms = reader.number("staleness_ms");
    if (reader.find("disk")) status.disk = reader.text("disk");
    if (reader.find("replicas")) status.replicas = reader.list<ReplicaStatus>("replicas", read_replica);
    if (!reader.complete()) return std::nullopt;
    return status;
}

std::optional<std::vector<AcceptedVersion>> parse_history(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    ObjectReader reader(document);
    std::vector<AcceptedVersion> versions = reader.list<AcceptedVersion>("versions", read_version);
    if (!reader.complete()) return std::nullopt;
    return versions;
}

std::optional<configuration::Version> parse_configuration_version(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    return configuration::parse_version(ObjectReader(document).text("epoch"));
}

Failure failure_from_response(const HttpResponse& response) {
    Failure failure{exit_code_for(response.status), "status " + std::to_string(response.status), {}};
    rapidjson::Document document;
    document.Parse(response.body.data(), response.body.size());
    if (document.HasParseError()) return failure;
    ObjectReader reader(document);
    const std::string reason = reader.text("error");
    const std::string advice = reader.text("advice");
    if (!reader.complete()) return failure;
    failure.reason = reason + " (status " + std::to_string(response.status) + ")";
    // For a version conflict the advice of the exit code is better: it names this program's commands.
    if (failure.code != ExitCode::version_conflict) failure.advice = advice;
    return failure;
}

}  // namespace dewweir::program
