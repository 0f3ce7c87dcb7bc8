// Parses the JSON pages in which the platform lists the instances (upstream hosts) of all services. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace dewweir::control {

using Instances = std::map<std::string, wire::Instance>;  // by instance id

// One page of the list.
struct InstancePage {
    Instances instances;
    std::optional<std::string> next_token;  // of the following page; absent or empty: this is the last page
};

// Returns nothing unless the whole page is valid. An instance needs `id`, `backend` and `address`. A missing
// or malformed capacity or cold time becomes 0, and any state other than "ready" counts as draining; a
// capacity is truncated to an integer and clamped to the range of uint32.
std::optional<InstancePage> parse_instance_page(std::string_view json);

}  // namespace dewweir::control
