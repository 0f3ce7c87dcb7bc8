// Version number of a configuration, written as eight hexadecimal digits in HTTP bodies and files.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dewweir::configuration {

struct Version {
    std::uint32_t number = 0;  // 0 precedes the first configuration

    auto operator<=>(const Version&) const = default;
};

// Parses exactly eight hexadecimal digits of either case; returns nothing for any other text.
std::optional<Version> parse_version(std::string_view text);

// Parses the value of an If-Match header, with or without double quotes: a version, or "0" for the state
// before the first configuration. Returns nothing for any other text.
std::optional<Version> parse_if_match(std::string_view text);

// Eight lower-case hexadecimal digits.
std::string to_string(Version version);

}  // namespace dewweir::configuration
