#include "configuration/parser.h"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <utility>

#include "configuration/checks.h"
#include "configuration/json_reader.h"

namespace dewweir::configuration {
namespace {

constexpr std::uint32_t kMinTries = 1;  // a configured 0 is raised to it
constexpr std::string_view kDefaultProtocol = "h1";

// The iterative parser: deeply nested input cannot overflow the stack.
constexpr unsigned kParseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

// Reads every element of a required list; stops at the first error.
template <typename Element>
std::vector<Element> read_list(JsonReader& reader, std::string_view name, Element (*read)(JsonReader&)) {
    std::vector<Element> elements;
    const rapidjson::Value* list = reader.list(name);
    if (list == nullptr) return elements;
    elements.reserve(list->Size());
    const JsonLocation here = reader.at(name);
    for (const auto& value : list->GetArray()) {
        const JsonLocation location{&here, {}, elements.size()};
        JsonReader element(value, location, reader.rejection());
        elements.push_back(read(element));
        if (reader.rejection().present()) break;
    }
    return elements;
}

RouteClass read_route_class(JsonReader& reader) {
    constexpr std::string_view kField = "route_class";
    const std::string text = reader.text(kField);
    if (text == "idempotent") return RouteClass::idempotent;
    if (text != "mutating")
        reader.reject(Reason::unknown_route_class, kField, "must be idempotent or mutating");
    return RouteClass::mutating;
}

WeightedBackend read_weighted_backend(JsonReader& reader) {
    WeightedBackend backend;
    backend.service = reader.text("backend");
    if (reader.find("weight") == nullptr) reader.reject(Reason::missing_field, "weight", "must be given");
    backend.weight = reader.number_or("weight", backend.weight);
    return backend;
}

// Reads `weighted_backends`, or the single `backend`. If a route has both, `backend` is used only when
// `weighted_backends` is empty.
std::vector<WeightedBackend> read_backends(JsonReader& reader) {
    constexpr std::string_view kWeighted = "weighted_backends";
    if (reader.find(kWeighted) == nullptr) return {WeightedBackend{reader.text("backend")}};
    auto backends = read_list<WeightedBackend>(reader, kWeighted, read_weighted_backend);
    const bool single = backends.empty() && reader.find("backend") != nullptr;
    if (single) backends.push_back(WeightedBackend{reader.text("backend")});
    return backends;
}

Route read_route(JsonReader& reader) {
    Route route;
    route.name = reader.text("name");
    route.hostname = reader.text("hostname");
    route.path_prefix = reader.text("path_prefix");
    route.route_class = read_route_class(reader);
    route.deadline = reader.time("deadline");
    route.target_latency = reader.time("target_latency");
    route.priority = reader.count_or("priority", route.priority);
    route.backends = read_backends(reader);
    route.max_tries = std::max(kMinTries, reader.count_or("max_tries", route.max_tries));
    route.anonymous = reader.flag_or("anonymous", route.anonymous);
    route.home_regions = reader.texts("home_regions");
    return route;
}

Service read_service(JsonReader& reader) {
    Service service;
    service.name = reader.text("name");
    service.health_path = reader.text("health_path");
    if (reader.find("max_conns") == nullptr)
        reader.reject(Reason::missing_field, "max_conns", "must be given");
    service.max_conns = reader.count_or("max_conns", service.max_conns);
    service.protocol = reader.text_or("protocol", kDefaultProtocol);
    service.tls = reader.flag_or("tls", service.tls);
    service.warmup = reader.time_or("warmup", service.warmup);
    if (reader.find("cold_per_s") != nullptr) service.cold_per_s = reader.number_or("cold_per_s", 0.0);
    return service;
}

Tenant read_tenant(JsonReader& reader) {
    Tenant tenant;
    tenant.name = reader.text("name");
    tenant.api_keys = reader.texts("api_keys");
    if (reader.find("priority") != nullptr) tenant.priority = reader.count_or("priority", 0);
    tenant.rate_per_s = reader.number_or("rate_per_s", tenant.rate_per_s);
    tenant.burst = reader.number_or("burst", tenant.burst);
    tenant.home_regions = reader.texts("home_regions");
    return tenant;
}

ClientLimits read_limits(JsonReader& reader) {
    ClientLimits limits;
    const rapidjson::Value* value = reader.find("limits");
    if (value == nullptr) return limits;
    const JsonLocation location = reader.at("limits");
    JsonReader fields(*value, location, reader.rejection());
    limits.max_header_bytes = fields.size_or("max_header_bytes", limits.max_header_bytes);
    limits.max_body_bytes = fields.size_or("max_body_bytes", limits.max_body_bytes);
    limits.header_timeout = fields.time_or("header_timeout", limits.header_timeout);
    limits.idle_timeout = fields.time_or("idle_timeout", limits.idle_timeout);
    return limits;
}

Version read_epoch(JsonReader& reader) {
    constexpr std::string_view kField = "epoch";
    const auto version = parse_version(reader.text(kField));
    if (!version) reader.reject(Reason::malformed_epoch, kField, "must be eight hexadecimal digits");
    return version.value_or(Version{});
}

Configuration read_configuration(JsonReader& reader) {
    Configuration configuration;
    configuration.epoch = read_epoch(reader);
    configuration.services = read_list<Service>(reader, "services", read_service);
    configuration.routes = read_list<Route>(reader, "routes", read_route);
    configuration.limits = read_limits(reader);
    configuration.has_tenants = reader.find("tenants") != nullptr;
    if (configuration.has_tenants) configuration.tenants = read_list<Tenant>(reader, "tenants", read_tenant);
    return configuration;
}

std::string json_error(const rapidjson::Document& document) {
    const std::string what = rapidjson::GetParseError_En(document.GetParseError());
    return what + " (byte " + std::to_string(document.GetErrorOffset()) + ')';
}

}  // namespace

std::string_view to_string(Reason reason) {
    switch (reason) {
        case Reason::not_json: return "not_json";
        case Reason::missing_field: return "missing_field";
        case Reason::wrong_type: return "wrong_type";
        case Reason::malformed_epoch: return "malformed_epoch";
        case Reason::malformed_time: return "malformed_time";
        case Reason::malformed_path_prefix: return "malformed_path_prefix";
        case Reason::negative_number: return "negative_number";
        case Reason::number_out_of_range: return "number_out_of_range";
        case Reason::unknown_route_class: return "unknown_route_class";
        case Reason::unknown_service: return "unknown_service";
        case Reason::duplicate_route_match: return "duplicate_route_match";
        case Reason::duplicate_name: return "duplicate_name";
        case Reason::duplicate_api_key: return "duplicate_api_key";
        case Reason::weights_sum_to_zero: return "weights_sum_to_zero";
        case Reason::deadline_too_long: return "deadline_too_long";
        case Reason::deadline_too_short: return "deadline_too_short";
        case Reason::empty_hostname: return "empty_hostname";
        case Reason::no_connections: return "no_connections";
        case Reason::limit_too_small: return "limit_too_small";
        case Reason::target_latency_too_long: return "target_latency_too_long";
        case Reason::epoch_not_greater: return "epoch_not_greater";
    }
    return "unknown";
}

ParseResult parse_configuration(std::string_view json) {
    // RapidJSON takes a zero byte for the end of the text and would ignore everything after it.
    if (json.find('\0') != std::string_view::npos)
        return Rejection{Reason::not_json, "", "holds a zero byte"};
    // Parses a copy in place: RapidJSON then copies no strings, which halves the parsing time.
    std::string buffer(json);
    rapidjson::Document document;
    document.ParseInsitu<kParseFlags>(buffer.data());
    if (document.HasParseError()) return Rejection{Reason::not_json, "", json_error(document)};
    const JsonLocation root;
    FirstRejection rejection;
    JsonReader reader(document, root, rejection);
    Configuration configuration = read_configuration(reader);
    if (rejection.present()) return *rejection.get();
    if (auto fault = check_configuration(configuration)) return std::move(*fault);
    return configuration;
}

ParseResult parse_proposal(std::string_view json) {
    ParseResult parsed = parse_configuration(json);
    const auto* const configuration = std::get_if<Configuration>(&parsed);
    if (!configuration) return parsed;
    if (auto fault = check_servable(*configuration)) return std::move(*fault);
    return parsed;
}

std::optional<Rejection> check_follows(const Configuration& next, std::optional<Version> current) {
    const Version in_force = current.value_or(Version{});
    if (next.epoch > in_force) return std::nullopt;
    return Rejection{Reason::epoch_not_greater, "/epoch", "must be greater than " + to_string(in_force)};
}

}  // namespace dewweir::configuration
