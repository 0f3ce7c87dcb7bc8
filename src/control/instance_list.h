// The platform's list of instances: reads its pages. Pure.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace dewweir::control {

using Instances = std::map<std::string, wire::Instance>;  // by id

struct InstancePage {
    Instances instances;
    std::optional<std::string> next_token;  // of the page that follows
};

// Nothing where the page can't be read whole.
std::optional<InstancePage> parse_instance_page(std::string_view json);

}  // namespace dewweir::control
