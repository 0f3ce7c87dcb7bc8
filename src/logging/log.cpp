#include "logging/log.h"

#include <easylogging++.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <chrono>

INITIALIZE_EASYLOGGINGPP

namespace dewweir::logging {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Event::count)> event_names = {
    "started",
    "stopping",
    "stopped",
    "settings_reloaded",
    "settings_refused",
    "address_unavailable",
    "configuration_proposed",
    "configuration_accepted",
    "configuration_refused",
    "configuration_applied",
    "evacuation_changed",
    "leader_changed",
    "member_joined",
    "member_left",
    "session_opened",
    "session_lost",
    "instance_list_published",
    "instance_list_failed",
    "instance_list_applied",
    "attempts_withdrawn",
    "response_skipped",
    "list_lease_lost",
    "list_lease_renewed",
    "region_without_gateways",
    "region_with_gateways",
    "breaker_opened",
    "breaker_closed",
    "endpoint_ejected",
    "endpoint_restored",
    "storage_failed",
    "storage_recovered",
    "state_unreadable",
};

constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};

std::string node_name;
Level least_level = Level::info;

std::int64_t milliseconds_since_epoch() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void put_text(Writer& writer, std::string_view text) {
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void put_field(Writer& writer, const Field& field) {
    put_text(writer, field.name);
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) {
        writer.Int64(*number);
    } else {
        put_text(writer, std::get<std::string_view>(field.value));
    }
}

}  // namespace

std::string_view name_of(Event event) { return event_names[static_cast<std::size_t>(event)]; }

void start(std::string_view node, Level least) {
    node_name = node;
    least_level = least;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
}

void log(Level level, Event event, std::initializer_list<Field> fields) {
    if (level < least_level) return;
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    put_field(writer, {"time_ms", milliseconds_since_epoch()});
    put_field(writer, {"level", level_names[static_cast<std::size_t>(level)]});
    put_field(writer, {"node", std::string_view(node_name)});
    put_field(writer, {"event", name_of(event)});
    for (const Field& field : fields) put_field(writer, field);
    writer.EndObject();
    LOG(INFO) << buffer.GetString();
}

}  // namespace dewweir::logging
