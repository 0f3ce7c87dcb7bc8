// The version of a configuration, in bodies eight hexadecimal digits.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dewweir::configuration {

struct Version {
    std::uint32_t number = 0;  // 0 is before the first configuration

    auto operator<=>(const Version&) const = default;
};

// Eight hexadecimal digits, of either case; nothing for any other text.
std::optional<Version> parse_version(std::string_view text);

// The value of If-Match: a version, or "0" before the first configuration; may stand in quotes.
std::optional<Version> parse_if_match(std::string_view text);

// Eight digits in lower case.
std::string to_string(Version version);

}  // namespace dewweir::configuration
