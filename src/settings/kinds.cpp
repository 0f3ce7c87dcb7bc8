#include "settings/kinds.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "settings/duration.h"

namespace dewweir::settings {
namespace {

template <typename Number> ValueFault read_number(std::string_view text, Number& value) {
    Number number{};
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error == std::errc::invalid_argument || stop != end) return SettingsFault::malformed;
    if (error == std::errc::result_out_of_range) return SettingsFault::out_of_range;
    value = number;
    return std::nullopt;
}

// Whole numbers may be written like 4 and like 4.0.
ValueFault read_whole(std::string_view text, std::uint64_t largest, std::uint64_t& value) {
    std::uint64_t whole = 0;
    if (read_number(text, whole)) {
        double fraction = 0.0;
        if (const ValueFault fault = read_value(text, fraction)) return fault;
        if (fraction != std::floor(fraction)) return SettingsFault::malformed;
        constexpr double kExactWhole = 9007199254740992.0;  // 2^53
        if (fraction > kExactWhole) return SettingsFault::out_of_range;
        whole = static_cast<std::uint64_t>(fraction);
    }
    if (whole > largest) return SettingsFault::out_of_range;
    value = whole;
    return std::nullopt;
}

// The words of a list joined by commas; empty words are left out.
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

std::optional<Serves> serves_of(std::string_view word) {
    if (word == "edge") return Serves::edge;
    if (word == "control") return Serves::control;
    if (word == "directory") return Serves::directory;
    return std::nullopt;
}

}  // namespace

ValueFault read_value(std::string_view text, std::string& value) {
    value = text;
    return std::nullopt;
}

ValueFault read_value(std::string_view text, bool& value) {
    if (text != "true" && text != "false") return SettingsFault::malformed;
    value = text == "true";
    return std::nullopt;
}

ValueFault read_value(std::string_view text, double& value) {
    double number = 0.0;
    if (const ValueFault fault = read_number(text, number)) return fault;
    if (!std::isfinite(number)) return SettingsFault::malformed;
    if (number < 0.0) return SettingsFault::out_of_range;
    value = number;
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::uint32_t& value) {
    std::uint64_t whole = 0;
    const ValueFault fault = read_whole(text, std::numeric_limits<std::uint32_t>::max(), whole);
    if (!fault) value = static_cast<std::uint32_t>(whole);
    return fault;
}

ValueFault read_value(std::string_view text, std::uint64_t& value) {
    return read_whole(text, std::numeric_limits<std::uint64_t>::max(), value);
}

ValueFault read_value(std::string_view text, std::chrono::milliseconds& value) {
    const ParsedDuration parsed = parse_duration(text);
    if (parsed.fault == DurationFault::malformed) return SettingsFault::malformed;
    if (parsed.fault) return SettingsFault::out_of_range;
    value = parsed.value;
    return std::nullopt;
}

ValueFault read_value(std::string_view text, Endpoint& value) {
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) return SettingsFault::malformed;
    value = *endpoint;
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::optional<Endpoint>& value) {
    if (text.empty()) {
        value.reset();
        return std::nullopt;
    }
    Endpoint endpoint;
    const ValueFault fault = read_value(text, endpoint);
    if (!fault) value = endpoint;
    return fault;
}

ValueFault read_value(std::string_view text, std::optional<std::string>& value) {
    value.reset();
    if (!text.empty()) value = std::string(text);
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::vector<std::string>& value) {
    const auto words = split_list(text);
    value.assign(words.begin(), words.end());
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::vector<Endpoint>& value) {
    std::vector<Endpoint> endpoints;
    for (const std::string_view word : split_list(text)) {
        Endpoint endpoint;
        if (const ValueFault fault = read_value(word, endpoint)) return fault;
        endpoints.push_back(endpoint);
    }
    value = std::move(endpoints);
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::set<std::string>& value) {
    const auto words = split_list(text);
    value = std::set<std::string>(words.begin(), words.end());
    return std::nullopt;
}

ValueFault read_value(std::string_view text, std::set<Serves>& value) {
    value.clear();
    for (const std::string_view word : split_list(text)) {
        if (const auto serves = serves_of(word)) value.insert(*serves);
    }
    return std::nullopt;
}

ValueFault read_value(std::string_view text, PortRange& value) {
    constexpr std::size_t kEnds = 2;
    const auto words = split_list(text);
    if (words.size() != kEnds) return SettingsFault::malformed;
    PortRange range;
    if (const ValueFault fault = read_number(words.front(), range.first)) return fault;
    if (const ValueFault fault = read_number(words.back(), range.last)) return fault;
    if (range.first == 0 || range.first > range.last) return SettingsFault::out_of_range;
    value = range;
    return std::nullopt;
}

ValueFault read_ip(std::string_view text, std::uint32_t& value) {
    const auto ip = parse_ip(text);
    if (!ip) return SettingsFault::malformed;
    value = *ip;
    return std::nullopt;
}

}  // namespace dewweir::settings
