// Table of all keys of a settings file: name, unit, range, default, help text and how the value is parsed.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "settings/kinds.h"
#include "settings/settings.h"

namespace dewweir::settings {

// What happens if the file does not contain a key or gives it no value.
enum class Presence {
    required,  // the file is rejected
    optional,  // the default is used
};

struct Field {
    std::string_view key;
    std::string_view unit;
    std::string_view range;
    Presence presence = Presence::required;
    std::string_view default_text;  // parsed like a value of the file; unused for a required key
    std::string_view help;
    // Parses `text` and stores the value in `settings`; leaves them unchanged on an error.
    std::function<ValueError(std::string_view text, Settings& settings)> read;
};

// All keys in the order of the file, except network.zones.NAME, whose keys are not fixed.
const std::vector<Field>& fields();

}  // namespace dewweir::settings
