// The lines of a settings file as a tree: `a.b=value` is the text at the JSON pointer /a/b.
#pragma once

#include <rapidjson/document.h>

#include <string_view>
#include <variant>

#include "settings/settings.h"

namespace dewweir::settings {

// The key whose parts below it are names, which may hold dots themselves: network.zones.NAME=region.
inline constexpr std::string_view kZonesKey = "network.zones";

// An object whose leaves are the texts of the known keys, or the line that is no key=value.
std::variant<rapidjson::Document, SettingsError> read_lines(std::string_view text);

}  // namespace dewweir::settings
