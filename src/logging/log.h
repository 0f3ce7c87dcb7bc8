// Structured logs: one JSON object a line on standard output, written by easylogging++. Each line names an
// event of the closed list below. It must never be used on the path of a single request at the default level.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace dewweir::logging {

enum class Level : std::uint8_t { debug, info, warning, error };

enum class Event : std::uint8_t {
    started,
    stopping,
    stopped,
    settings_reloaded,
    settings_refused,
    address_unavailable,
    configuration_proposed,
    configuration_accepted,
    configuration_refused,
    configuration_applied,
    evacuation_changed,
    leader_changed,
    member_joined,
    member_left,
    session_opened,
    session_lost,
    instance_list_published,
    instance_list_failed,
    instance_list_applied,
    attempts_withdrawn,
    response_skipped,
    list_lease_lost,
    list_lease_renewed,
    region_without_gateways,
    region_with_gateways,
    breaker_opened,
    breaker_closed,
    endpoint_ejected,
    endpoint_restored,
    storage_failed,
    storage_recovered,
    state_unreadable,
    count
};

// The event's name as it stands in the log.
std::string_view name_of(Event event);

struct Field {
    std::string_view name;
    std::variant<std::int64_t, std::string_view> value;
};

// Sets up the logger once; `node` stands in every line.
void start(std::string_view node, Level least);
void log(Level level, Event event, std::initializer_list<Field> fields);

}  // namespace dewweir::logging
