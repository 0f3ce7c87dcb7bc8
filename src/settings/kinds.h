// Parses the values of a settings file into their types.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace dewweir::settings {

// Error of a value; absent if it was parsed. The caller knows the key.
using ValueError = std::optional<SettingsErrorKind>;

// Each overload parses `text` into `value` and leaves `value` unchanged on an error. Numbers must be at least
// 0; lists are separated by commas.
ValueError read_value(std::string_view text, std::string& value);
ValueError read_value(std::string_view text, bool& value);
ValueError read_value(std::string_view text, double& value);
ValueError read_value(std::string_view text, std::uint32_t& value);
ValueError read_value(std::string_view text, std::uint64_t& value);
ValueError read_value(std::string_view text, std::chrono::milliseconds& value);
ValueError read_value(std::string_view text, Endpoint& value);
ValueError read_value(std::string_view text, std::optional<Endpoint>& value);
ValueError read_value(std::string_view text, std::optional<std::string>& value);
ValueError read_value(std::string_view text, std::vector<std::string>& value);
ValueError read_value(std::string_view text, std::vector<Endpoint>& value);
ValueError read_value(std::string_view text, std::set<std::string>& value);
ValueError read_value(std::string_view text, std::set<ExternalInterface>& value);
ValueError read_value(std::string_view text, PortRange& value);

// Parses an IPv4 address without a port. Not an overload: its type is that of other numbers.
ValueError read_ip(std::string_view text, std::uint32_t& value);

}  // namespace dewweir::settings
