#include "settings/kinds.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "settings/duration.h"

namespace dewweir::settings {
namespace {

template <typename Number> ValueError read_number(std::string_view text, Number& value) {
    Number number{};
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error == std::errc::invalid_argument || stop != end) return SettingsErrorKind::malformed;
    if (error == std::errc::result_out_of_range) return SettingsErrorKind::out_of_range;
    value = number;
    return std::nullopt;
}

// An integer may also be written with a zero fraction, like 4.0.
ValueError read_integer(std::string_view text, std::uint64_t largest, std::uint64_t& value) {
    std::uint64_t whole = 0;
    if (read_number(text, whole)) {
        double fraction = 0.0;
        if (const ValueError error = read_value(text, fraction)) return error;
        if (fraction != std::floor(fraction)) return SettingsErrorKind::malformed;
        constexpr double kLargestExactInteger = 9007199254740992.0;  // 2^53: above it a double skips integers
        if (fraction > kLargestExactInteger) return SettingsErrorKind::out_of_range;
        whole = static_cast<std::uint64_t>(fraction);
    }
    if (whole > largest) return SettingsErrorKind::out_of_range;
    value = whole;
    return std::nullopt;
}

// Splits a list at its commas; empty elements are dropped.
std::vector<std::string_view> split_list(std::string_view text) {
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const std::string_view word = text.substr(0, comma);
        if (!word.empty()) words.push_back(word);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return words;
}

std::optional<ExternalInterface> interface_named(std::string_view word) {
    if (word == "edge") return ExternalInterface::edge;
    if (word == "control") return ExternalInterface::control;
    if (word == "directory") return ExternalInterface::directory;
    return std::nullopt;
}

}  // namespace

ValueError read_value(std::string_view text, std::string& value) {
    value = text;
    return std::nullopt;
}

ValueError read_value(std::string_view text, bool& value) {
    if (text != "true" && text != "false") return SettingsErrorKind::malformed;
    value = text == "true";
    return std::nullopt;
}

ValueError read_value(std::string_view text, double& value) {
    double number = 0.0;
    if (const ValueError error = read_number(text, number)) return error;
    if (!std::isfinite(number)) return SettingsErrorKind::malformed;
    if (number < 0.0) return SettingsErrorKind::out_of_range;
    value = number;
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::uint32_t& value) {
    std::uint64_t whole = 0;
    const ValueError error = read_integer(text, std::numeric_limits<std::uint32_t>::max(), whole);
    if (!error) value = static_cast<std::uint32_t>(whole);
    return error;
}

ValueError read_value(std::string_view text, std::uint64_t& value) {
    return read_integer(text, std::numeric_limits<std::uint64_t>::max(), value);
}

ValueError read_value(std::string_view text, std::chrono::milliseconds& value) {
    const ParsedDuration parsed = parse_duration(text);
    if (parsed.error == DurationError::malformed) return SettingsErrorKind::malformed;
    if (parsed.error) return SettingsErrorKind::out_of_range;
    value = parsed.value;
    return std::nullopt;
}

ValueError read_value(std::string_view text, Endpoint& value) {
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) return SettingsErrorKind::malformed;
    value = *endpoint;
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::optional<Endpoint>& value) {
    if (text.empty()) {
        value.reset();
        return std::nullopt;
    }
    Endpoint endpoint;
    const ValueError error = read_value(text, endpoint);
    if (!error) value = endpoint;
    return error;
}

ValueError read_value(std::string_view text, std::optional<std::string>& value) {
    value.reset();
    if (!text.empty()) value = std::string(text);
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::vector<std::string>& value) {
    const auto words = split_list(text);
    value.assign(words.begin(), words.end());
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::vector<Endpoint>& value) {
    std::vector<Endpoint> endpoints;
    for (const std::string_view word : split_list(text)) {
        Endpoint endpoint;
        if (const ValueError error = read_value(word, endpoint)) return error;
        endpoints.push_back(endpoint);
    }
    value = std::move(endpoints);
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::set<std::string>& value) {
    const auto words = split_list(text);
    value = std::set<std::string>(words.begin(), words.end());
    return std::nullopt;
}

ValueError read_value(std::string_view text, std::set<ExternalInterface>& value) {
    value.clear();
    for (const std::string_view word : split_list(text)) {
        if (const auto interface = interface_named(word)) value.insert(*interface);
    }
    return std::nullopt;
}

ValueError read_value(std::string_view text, PortRange& value) {
    constexpr std::size_t kEnds = 2;
    const auto words = split_list(text);
    if (words.size() != kEnds) return SettingsErrorKind::malformed;
    PortRange range;
    if (const ValueError error = read_number(words.front(), range.first)) return error;
    if (const ValueError error = read_number(words.back(), range.last)) return error;
    if (range.first == 0 || range.first > range.last) return SettingsErrorKind::out_of_range;
    value = range;
    return std::nullopt;
}

ValueError read_ip(std::string_view text, std::uint32_t& value) {
    const auto ip = parse_ip(text);
    if (!ip) return SettingsErrorKind::malformed;
    value = *ip;
    return std::nullopt;
}

}  // namespace dewweir::settings
