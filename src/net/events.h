// The events that a gateway logs, each with its stable name, level, fields and meaning; the table of the on-
// call page is generated from them. Removing or renaming an event needs a changelog entry, because people
// search for the names.
#pragma once

#include <cstddef>
#include <string>

namespace dewweir::net {

enum class Level { error, warning, info, debug };

enum class Event : std::size_t {
    gateway_ready,
    gateway_ended,
    gateway_stopping,
    configuration_read,
    configuration_restart,
    configuration_bad,
    host_named,
    host_shut,
    host_back,
    host_no_connection,
    clients_not_accepted,
    client_refused,
    counter_lost,
    breaker_open,
    breaker_closed,
    discovery_asked,
    discovery_told,
    discovery_older,
    discovery_lost,
    decided,
    counts,
    members_state,
    members_count,
    members_cut_off,
    members_healed,
    members_replaced,
    members_refused,
    members_status,
    rollout_phase,
    rollout_act,
    rollout_fault,
    log_repeated,
    log_left_out,
    count,
};

struct EventKind {
    const char* name;
    Level level;
    const char* fields;  // with their types
    const char* meaning;
};

const EventKind& kind_of(Event event);
const char* name_of(Level level);
// The table of docs/oncall.md.
std::string events_table();

}  // namespace dewweir::net
