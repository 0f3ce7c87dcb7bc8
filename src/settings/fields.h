// The table of all keys of a settings file: what each is called, takes and means, and where it is kept.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "settings/kinds.h"
#include "settings/settings.h"

namespace dewweir::settings {

// What a key does where the file lacks it or gives it no value.
enum class Presence {
    required,  // an error
    optional,  // the default's text is read in its place
};

struct Field {
    std::string_view key;
    std::string_view unit;
    std::string_view range;
    Presence presence = Presence::required;
    std::string_view default_text;  // of an optional key
    std::string_view help;
    std::function<ValueFault(std::string_view text, Settings& settings)> read;
};

// In the order of the file. `network.zones`, whose keys are names, is not among them.
const std::vector<Field>& fields();

}  // namespace dewweir::settings
