// Parses and validates the operator's JSON: returns a Configuration, or the reason why it is rejected.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "configuration/configuration.h"

namespace dewweir::configuration {

// Why a configuration is rejected.
enum class Reason {
    not_json,                 // not valid JSON, truncated, or followed by further text
    missing_field,            // a required field is absent or null
    wrong_type,               // a field's value has the wrong JSON type
    malformed_epoch,          // not eight hexadecimal digits
    malformed_time,           // not a number with the unit ms or s
    malformed_path_prefix,    // does not begin and end with '/'
    negative_number,          // a number or time below 0
    number_out_of_range,      // a number too large for its field
    unknown_route_class,      // neither idempotent nor mutating
    unknown_service,          // a route names a service that the configuration does not define
    duplicate_route_match,    // two routes have the same host and path prefix
    duplicate_name,           // two routes, two services or two tenants have the same name
    duplicate_api_key,        // two tenants have the same API key
    weights_sum_to_zero,      // the weights of a route sum to 0
    deadline_too_long,        // above kLongestDeadline
    deadline_too_short,       // below kShortestDeadline: no request could be served
    empty_hostname,           // no request can match an empty host name
    no_connections,           // max_conns is 0: the service's hosts could take no request
    limit_too_small,          // a limit that no client can meet
    target_latency_too_long,  // at least kTargetLatencyExcessLimit above the deadline
    epoch_not_greater,        // the epoch is not greater than the version in force
};

// The enumerator's name, as used in logs and HTTP bodies.
std::string_view to_string(Reason reason);

// Why and where a configuration is rejected.
struct Rejection {
    Reason reason = Reason::not_json;
    std::string path;    // JSON pointer to the offending value; "" for the whole text
    std::string advice;  // what to change, for a person to read; contains no API key
};

using ParseResult = std::variant<Configuration, Rejection>;

// Parses and validates one complete configuration. Unknown fields are ignored, and null counts as absent.
// Defaults of absent fields: `max_tries` 1, `priority` 0, `anonymous` and `tls` false, `protocol` h1,
// `warmup` 0, `home_regions` empty, `limits` as in ClientLimits. Of several errors, one is reported.
ParseResult parse_configuration(std::string_view json);

// The same for a configuration that an operator submits: it is also rejected if a part of it could never be
// served (check_servable). Whatever this accepts, parse_configuration accepts too.
ParseResult parse_proposal(std::string_view json);

// Whether `next` may replace the version in force (absent before the first configuration): its epoch must be
// greater. Returns nothing if it may.
std::optional<Rejection> check_follows(const Configuration& next, std::optional<Version> current);

}  // namespace dewweir::configuration
