// Parses the lines of a settings file into a tree: `a.b=value` becomes the string at the JSON pointer /a/b.
#pragma once

#include <rapidjson/document.h>

#include <string_view>
#include <variant>

#include "settings/settings.h"

namespace dewweir::settings {

// Prefix of the keys network.zones.NAME=region, whose NAME may itself contain dots.
inline constexpr std::string_view kZonesKey = "network.zones";

// Returns an object whose leaves are the values of the known keys, as strings; or an error for the first line
// that is not key=value.
std::variant<rapidjson::Document, SettingsError> read_lines(std::string_view text);

}  // namespace dewweir::settings
