#include "control/instance_list.h"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>

#include <algorithm>
#include <limits>

#include "settings/duration.h"

namespace dewweir::control {
namespace {

using rapidjson::Value;

std::optional<std::string> text_at(const Value& entry, const char* pointer) {
    const Value* const value = rapidjson::Pointer(pointer).Get(entry);
    if (!value || !value->IsString()) return std::nullopt;
    return std::string(value->GetString(), value->GetStringLength());
}

std::uint32_t number_at(const Value& entry, const char* pointer) {
    const Value* const value = rapidjson::Pointer(pointer).Get(entry);
    if (!value || !value->IsNumber()) return 0;
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(value->GetDouble(), 0.0, most));
}

std::uint32_t milliseconds_at(const Value& entry, const char* pointer) {
    const std::optional<std::string> text = text_at(entry, pointer);
    if (!text) return 0;
    const settings::ParsedDuration duration = settings::parse_duration(*text);
    return duration.error ? 0 : static_cast<std::uint32_t>(duration.value.count());
}

std::optional<wire::Instance> parse_instance(const Value& entry, const std::string& zone) {
    const auto id = text_at(entry, "/id");
    const auto service = text_at(entry, "/backend");
    const auto address = text_at(entry, "/address");
    const auto state = text_at(entry, "/state");
    if (!id || !service || !address) return std::nullopt;
    wire::Instance instance;
    instance.id = *id;
    instance.service = *service;
    instance.address = *address;
    instance.zone = zone;
    instance.capacity = number_at(entry, "/capacity");
    instance.state = state == "ready" ? wire::InstanceState::ready : wire::InstanceState::draining;
    instance.cold_left_ms = milliseconds_at(entry, "/cold_left");
    return instance;
}

}  // namespace

std::optional<InstancePage> parse_instance_page(std::string_view json) {
    rapidjson::Document document;
    // Iterative parsing: with recursion a deeply nested page would overflow the stack.
    document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
    if (document.HasParseError() || !document.IsObject()) return std::nullopt;
    const Value* const zones = rapidjson::Pointer("/instances").Get(document);
    if (!zones || !zones->IsObject()) return std::nullopt;
    InstancePage page;
    for (const auto& zone : zones->GetObject()) {
        if (!zone.value.IsArray()) return std::nullopt;
        for (const Value& entry : zone.value.GetArray()) {
            std::optional<wire::Instance> instance = parse_instance(entry, zone.name.GetString());
            if (!instance) return std::nullopt;
            page.instances[instance->id] = std::move(*instance);
        }
    }
    page.next_token = text_at(document, "/next_token");
    return page;
}

}  // namespace dewweir::control
