#include "settings/settings.h"

#include <rapidjson/pointer.h>

#include <algorithm>
#include <utility>

#include "settings/document.h"
#include "settings/fields.h"

namespace dewweir::settings {
namespace {

// The key a.b becomes the pointer /a/b. Needs no escaping: no key of the table has '/' or '~'.
rapidjson::Pointer pointer_to(std::string_view key) {
    std::string path = '/' + std::string(key);
    std::replace(path.begin(), path.end(), '.', '/');
    return rapidjson::Pointer(path.data(), path.size());
}

// Value of the key; empty if absent.
std::string_view text_at(const rapidjson::Document& document, std::string_view key) {
    const rapidjson::Value* value = pointer_to(key).Get(document);
    if (value == nullptr || !value->IsString()) return {};
    return {value->GetString(), value->GetStringLength()};
}

std::string advice_for(const Field& field) {
    return std::string(field.help) + ": " + std::string(field.unit) + ", " + std::string(field.range);
}

std::optional<SettingsError> read_field(const Field& field, const rapidjson::Document& document,
                                        Settings& settings) {
    std::string_view text = text_at(document, field.key);
    if (text.empty() && field.presence == Presence::required) {
        return SettingsError{std::string(field.key), SettingsErrorKind::missing, advice_for(field)};
    }
    if (text.empty()) text = field.default_text;
    const ValueError error = field.read(text, settings);
    if (!error) return std::nullopt;
    return SettingsError{std::string(field.key), *error, advice_for(field)};
}

std::map<ZoneName, RegionName> read_zones(const rapidjson::Document& document) {
    std::map<ZoneName, RegionName> zones;
    const rapidjson::Value* table = pointer_to(kZonesKey).Get(document);
    if (table == nullptr || !table->IsObject()) return zones;
    for (const auto& zone : table->GetObject()) {
        const std::string name(zone.name.GetString(), zone.name.GetStringLength());
        zones[name] = RegionName(zone.value.GetString(), zone.value.GetStringLength());
    }
    return zones;
}

// One row of the Markdown table.
std::string row(const Field& field) {
    const bool required = field.presence == Presence::required;
    const std::string default_or_required =
        required ? "required" : '`' + std::string(field.default_text) + '`';
    const std::string default_column = !required && field.default_text.empty() ? "none" : default_or_required;
    std::string text = "| `" + std::string(field.key) + "` | " + std::string(field.unit);
    text +=
        " | " + std::string(field.range) + " | " + default_column + " | " + std::string(field.help) + " |\n";
    return text;
}

}  // namespace

SettingsResult read_settings(std::string_view text) {
    auto lines = read_lines(text);
    if (auto* error = std::get_if<SettingsError>(&lines)) return std::move(*error);
    const auto& document = std::get<rapidjson::Document>(lines);
    Settings settings;
    for (const Field& field : fields()) {
        if (auto error = read_field(field, document, settings)) return std::move(*error);
    }
    settings.network.zones = read_zones(document);
    return settings;
}

std::string describe_settings() {
    std::string text = "| key | unit | range | default | meaning |\n|---|---|---|---|---|\n";
    for (const Field& field : fields()) text += row(field);
    text += "| `" + std::string(kZonesKey) + ".ZONE` | text | any | none | region of a zone |\n";
    return text;
}

}  // namespace dewweir::settings
