#include "settings/duration.h"

#include <charconv>
#include <cmath>

namespace dewweir::settings {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

ParsedDuration failed(DurationFault fault) { return {std::chrono::milliseconds{0}, fault}; }

}  // namespace

ParsedDuration parse_duration(std::string_view text) {
    double number = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{}) return failed(DurationFault::malformed);
    const std::string_view unit(stop, static_cast<std::size_t>(end - stop));
    if (unit != "ms" && unit != "s") return failed(DurationFault::malformed);
    if (std::isnan(number)) return failed(DurationFault::malformed);
    if (number < 0.0) return failed(DurationFault::negative);
    const double milliseconds = unit == "s" ? number * kMillisecondsPerSecond : number;
    if (milliseconds > static_cast<double>(kLongestDuration.count())) return failed(DurationFault::too_long);
    // The product of a decimal fraction and 1000 may be off by the last bit: 0.0011s is not to become 2 ms
    // for that.
    constexpr double kRoundingError = 1e-6;
    const double whole = std::ceil(milliseconds - kRoundingError);
    return {std::chrono::milliseconds{static_cast<std::int64_t>(whole)}, std::nullopt};
}

}  // namespace dewweir::settings
