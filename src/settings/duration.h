// Parses times as written in settings files and in the operator's configuration: a number with the unit `ms`
// or `s`.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace dewweir::settings {

enum class DurationError {
    malformed,  // not a number followed by a unit
    negative,
    too_long,  // more than kLongestDuration
};

constexpr std::chrono::milliseconds kLongestDuration = std::chrono::hours{24 * 365};

struct ParsedDuration {
    std::chrono::milliseconds value{0};
    std::optional<DurationError> error;  // if set, `value` is meaningless
};

// Parses texts like "1500ms" and "2.5s". Fractions of a millisecond are rounded up, so that a time above a
// limit is never read as equal to the limit.
ParsedDuration parse_duration(std::string_view text);

}  // namespace dewweir::settings
