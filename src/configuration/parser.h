// From the operator's JSON to a checked Configuration, or the reason why it is refused.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "configuration/configuration.h"

namespace dewweir::configuration {

enum class Reason {
    not_json,                 // no JSON text, cut short, or more after its end
    missing_field,            // a required field is not there or null
    wrong_type,               // a field holds another kind of value
    malformed_epoch,          // not eight hexadecimal digits
    malformed_time,           // not a number with the unit ms or s
    malformed_path_prefix,    // does not begin and end with '/'
    negative_number,          // a number or time below 0
    number_out_of_range,      // a number too large for its field
    unknown_route_class,      // neither idempotent nor mutating
    unknown_service,          // a route names a service that the configuration lacks
    duplicate_route_match,    // two routes of one host and prefix
    duplicate_name,           // two routes, services or tenants of one name
    duplicate_api_key,        // two tenants hold one key
    weights_sum_to_zero,      // the weights of a route sum to 0
    deadline_too_long,        // above kLongestDeadline
    deadline_too_short,       // below kShortestDeadline: no request could be served
    empty_hostname,           // no request has such a host
    no_connections,           // max_conns is 0: hosts could take no request
    limit_too_small,          // a limit that no client can keep
    target_latency_too_long,  // kTargetLatencyExcess or more above the deadline
    epoch_not_greater,        // than the version in force
};

// The reason's name as above, for logs and bodies.
std::string_view to_string(Reason reason);

struct Rejection {
    Reason reason = Reason::not_json;
    std::string path;    // JSON pointer to the place, "" for the whole text
    std::string advice;  // what to change, in words for a person; holds no API key
};

using ParseResult = std::variant<Configuration, Rejection>;

// Reads and checks one whole configuration. Unknown fields are ignored and null counts as absent. Left out,
// `max_tries` is 1, `priority` 0, `anonymous` and `tls` false, `protocol` h1, `warmup` 0, `home_regions`
// empty and `limits` as in ClientLimits. Where several things are wrong, one of them is told.
ParseResult parse_configuration(std::string_view json);

// The same for one that an operator sends: it is also refused where it has a part that could never be served.
// What this takes, parse_configuration takes.
ParseResult parse_proposal(std::string_view json);

// Whether `next` may follow the version in force (none before the first): its epoch has to be greater.
std::optional<Rejection> check_follows(const Configuration& next, std::optional<Version> current);

}  // namespace dewweir::configuration
