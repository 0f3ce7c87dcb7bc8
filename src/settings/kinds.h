// The kinds of values that a settings file holds: how each is read from its text.
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

// What is wrong with a value, the key left to the caller; nothing where it was read.
using ValueFault = std::optional<SettingsFault>;

// Each reads `text` into `value` and leaves `value` as it was on a fault. Numbers are 0 or more.
ValueFault read_value(std::string_view text, std::string& value);
ValueFault read_value(std::string_view text, bool& value);
ValueFault read_value(std::string_view text, double& value);
ValueFault read_value(std::string_view text, std::uint32_t& value);
ValueFault read_value(std::string_view text, std::uint64_t& value);
ValueFault read_value(std::string_view text, std::chrono::milliseconds& value);
ValueFault read_value(std::string_view text, Endpoint& value);
ValueFault read_value(std::string_view text, std::optional<Endpoint>& value);
ValueFault read_value(std::string_view text, std::optional<std::string>& value);
ValueFault read_value(std::string_view text, std::vector<std::string>& value);
ValueFault read_value(std::string_view text, std::vector<Endpoint>& value);
ValueFault read_value(std::string_view text, std::set<std::string>& value);
ValueFault read_value(std::string_view text, std::set<Serves>& value);
ValueFault read_value(std::string_view text, PortRange& value);

// An address alone, which is a number like others to the overloads above.
ValueFault read_ip(std::string_view text, std::uint32_t& value);

}  // namespace dewweir::settings
