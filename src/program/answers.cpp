#include "program/answers.h"

#include <rapidjson/document.h>

#include "api/status.h"

namespace dewweir::program {
namespace {

// Reads fields of one object; `whole` turns false at the first that is missing or of another type.
class Fields {
  public:
    explicit Fields(const rapidjson::Value& value) : value_(value), whole_(value.IsObject()) {}

    bool whole() const { return whole_; }

    std::string text(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsString()) return {found->GetString(), found->GetStringLength()};
        whole_ = false;
        return {};
    }

    std::uint64_t number(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsUint64()) return found->GetUint64();
        whole_ = false;
        return 0;
    }

    bool flag(const char* name) {
        const rapidjson::Value* const found = find(name);
        if (found && found->IsBool()) return found->GetBool();
        whole_ = false;
        return false;
    }

    // `read` makes an element out of a value, or nothing.
    template <class Element, class Read> std::vector<Element> list(const char* name, const Read& read) {
        std::vector<Element> elements;
        const rapidjson::Value* const found = find(name);
        if (!found || !found->IsArray()) {
            whole_ = false;
            return elements;
        }
        for (const rapidjson::Value& value : found->GetArray()) {
            std::optional<Element> element = read(value);
            whole_ = whole_ && element.has_value();
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
    bool whole_;
};

std::optional<std::string> read_text(const rapidjson::Value& value) {
    if (!value.IsString()) return std::nullopt;
    return std::string(value.GetString(), value.GetStringLength());
}

std::optional<MemberStatus> read_member(const rapidjson::Value& value) {
    Fields fields(value);
    MemberStatus member;
    member.node = fields.text("node");
    member.role = fields.text("role");
    member.zone = fields.text("zone");
    member.region = fields.text("region");
    member.ready = fields.flag("ready");
    member.internal = fields.text("internal");
    member.front = fields.text("front");
    member.control = fields.text("control");
    if (!fields.whole()) return std::nullopt;
    return member;
}

std::optional<ServiceStatus> read_service(const rapidjson::Value& value) {
    Fields fields(value);
    ServiceStatus service;
    service.service = fields.text("service");
    service.ready = fields.number("ready");
    service.draining = fields.number("draining");
    if (!fields.whole()) return std::nullopt;
    return service;
}

std::optional<AcceptedVersion> read_version(const rapidjson::Value& value) {
    Fields fields(value);
    AcceptedVersion accepted;
    accepted.position = fields.number("position");
    accepted.version = fields.text("version");
    accepted.hash = fields.text("hash");
    accepted.in_force = fields.flag("in_force");
    if (fields.find("bytes")) accepted.bytes = fields.number("bytes");
    if (!fields.whole()) return std::nullopt;
    return accepted;
}

std::optional<ReplicaStatus> read_replica(const rapidjson::Value& value) {
    Fields fields(value);
    ReplicaStatus replica;
    replica.address = fields.text("address");
    replica.part = fields.text("part");
    if (fields.find("behind")) replica.behind = fields.number("behind");
    if (fields.find("silent_ms")) replica.silent_ms = fields.number("silent_ms");
    if (!fields.whole()) return std::nullopt;
    return replica;
}

ExitCode code_of(int status) {
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
    Fields fields(document);
    Status status;
    status.node = fields.text("node");
    status.leads = fields.flag("leads");
    status.term = fields.number("term");
    status.leader_control = fields.text("leader_control");
    status.commit_index = fields.number("commit_index");
    status.applied_index = fields.number("applied_index");
    status.configuration = fields.text("configuration");
    status.evacuated_zones = fields.list<std::string>("evacuated_zones", read_text);
    status.instances = fields.list<ServiceStatus>("instances", read_service);
    status.instance_zones = fields.list<std::string>("instance_zones", read_text);
    status.members = fields.list<MemberStatus>("members", read_member);
    if (fields.find("staleness_ms")) status.staleness_ms = fields.number("staleness_ms");
    if (fields.find("disk")) status.disk = fields.text("disk");
    if (fields.find("replicas")) status.replicas = fields.list<ReplicaStatus>("replicas", read_replica);
    if (!fields.whole()) return std::nullopt;
    return status;
}

std::optional<std::vector<AcceptedVersion>> parse_history(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    Fields fields(document);
    std::vector<AcceptedVersion> versions = fields.list<AcceptedVersion>("versions", read_version);
    if (!fields.whole()) return std::nullopt;
    return versions;
}

std::optional<configuration::Version> version_of(const std::string& body) {
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError()) return std::nullopt;
    return configuration::parse_version(Fields(document).text("epoch"));
}

Failure failure_of(const HttpResponse& response) {
    Failure failure{code_of(response.status), "status " + std::to_string(response.status), {}};
    rapidjson::Document document;
    document.Parse(response.body.data(), response.body.size());
    if (document.HasParseError()) return failure;
    Fields fields(document);
    const std::string reason = fields.text("error");
    const std::string advice = fields.text("advice");
    if (!fields.whole()) return failure;
    failure.reason = reason + " (status " + std::to_string(response.status) + ")";
    // What to do about a conflict is better told by the exit code: it names this program's commands.
    if (failure.code != ExitCode::version_conflict) failure.advice = advice;
    return failure;
}

}  // namespace dewweir::program
