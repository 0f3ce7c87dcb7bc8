// Times as the settings file and the operator's configuration write them: a number and its unit, `ms` or `s`.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace dewweir::settings {

enum class DurationFault {
    malformed,  // no number with a unit
    negative,
    too_long,  // more than kLongestDuration
};

constexpr std::chrono::milliseconds kLongestDuration = std::chrono::hours{24 * 365};

struct ParsedDuration {
    std::chrono::milliseconds value{0};
    std::optional<DurationFault> fault;  // where set, `value` means nothing
};

// "1500ms" or "2.5s". A fraction of a millisecond is rounded up, so that no text above a bound is read as the
// bound.
ParsedDuration parse_duration(std::string_view text);

}  // namespace dewweir::settings
