// Any text as a settings file: read or refused with the key's name.
#include "settings/settings.h"

#include "fuzz/fuzz.h"

using namespace dewweir;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const settings::SettingsResult result = settings::read_settings(fuzz::text_of(data, size));
    const auto* const error = std::get_if<settings::SettingsError>(&result);
    if (error != nullptr) fuzz::must_hold(!error->advice.empty());
    return 0;
}
