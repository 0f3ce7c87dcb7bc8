#include "settings/duration.h"

#include <charconv>
#include <cmath>

namespace dewweir::settings {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

ParsedDuration failed(DurationError error) { return {std::chrono::milliseconds{0}, error}; }

}  // namespace

ParsedDuration parse_duration(std::string_view text) {
    double number = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{}) return failed(DurationError::malformed);
    const std::string_view unit(stop, static_cast<std::size_t>(end - stop));
    if (unit != "ms" && unit != "s") return failed(DurationError::malformed);
    if (std::isnan(number)) return failed(DurationError::malformed);
    if (number < 0.0) return failed(DurationError::negative);
    const double milliseconds = unit == "s" ? number * kMillisecondsPerSecond : number;
    if (milliseconds > static_cast<double>(kLongestDuration.count())) return failed(DurationError::too_long);
    // Multiplying a decimal fraction by 1000 may be off by the last bit: 2.007 * 1000 is above 2007. Without
    // the allowance 2.007s would be rounded up to 2008 ms.
    constexpr double kRoundingError = 1e-6;
    const double rounded_up = std::ceil(milliseconds - kRoundingError);
    return {std::chrono::milliseconds{static_cast<std::int64_t>(rounded_up)}, std::nullopt};
}

}  // namespace dewweir::settings
