#include "settings/document.h"

#include <rapidjson/pointer.h>

#include <algorithm>
#include <string>
#include <vector>

#include "settings/fields.h"

namespace dewweir::settings {
namespace {

constexpr std::string_view kBlanks = " \t\r";

std::string_view trimmed(std::string_view text) {
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) return "";  // not a null view, which RapidJSON rejects
    const std::size_t last = text.find_last_not_of(kBlanks);
    return text.substr(first, last - first + 1);
}

// Removes the first line from `text` and returns it without surrounding blanks.
std::string_view next_line(std::string_view& text) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return trimmed(line);
}

bool is_zone_key(std::string_view key) {
    return key.size() > kZonesKey.size() && key.starts_with(kZonesKey) && key[kZonesKey.size()] == '.';
}

bool is_known(std::string_view key) {
    const auto has_key = [key](const Field& field) { return field.key == key; };
    return is_zone_key(key) || std::any_of(fields().begin(), fields().end(), has_key);
}

// Splits a key at its dots. The name of a zone stays one part, whatever dots it contains.
std::vector<std::string> split_key(std::string_view key) {
    std::vector<std::string> parts;
    const std::size_t zone_name = is_zone_key(key) ? kZonesKey.size() + 1 : key.size();
    std::size_t start = 0;
    while (start < zone_name) {
        const std::size_t dot = key.find('.', start);
        const std::size_t end = dot < zone_name ? dot : key.size();
        parts.emplace_back(key.substr(start, end - start));
        start = end + 1;
    }
    if (zone_name < key.size()) parts.emplace_back(key.substr(zone_name));
    return parts;
}

void set_text(rapidjson::Document& document, std::string_view key, std::string_view value) {
    // Strings, not views: RapidJSON needs zero-terminated tokens.
    const std::vector<std::string> parts = split_key(key);
    std::vector<rapidjson::Pointer::Token> tokens;
    for (const std::string& part : parts) {
        const auto length = static_cast<rapidjson::SizeType>(part.size());
        // Always a member's name, never an array index: a zone may be called "7".
        tokens.push_back({part.data(), length, rapidjson::kPointerInvalidIndex});
    }
    const rapidjson::Pointer pointer(tokens.data(), tokens.size());
    const auto length = static_cast<rapidjson::SizeType>(value.size());
    rapidjson::Value text(value.data(), length, document.GetAllocator());
    pointer.Set(document, text);
}

}  // namespace

std::variant<rapidjson::Document, SettingsError> read_lines(std::string_view text) {
    rapidjson::Document document(rapidjson::kObjectType);
    while (!text.empty()) {
        const std::string_view line = next_line(text);
        if (line.empty() || line.front() == '#') continue;
        const std::size_t equals = line.find('=');
        const std::string_view key = trimmed(line.substr(0, equals));
        if (equals == std::string_view::npos || key.empty()) {
            return SettingsError{std::string(line), SettingsErrorKind::malformed, "a line is key=value"};
        }
        // Unknown keys are skipped: `a.b.c=1` would otherwise replace the value of the known key a.b.
        if (is_known(key)) set_text(document, key, trimmed(line.substr(equals + 1)));
    }
    return document;
}

}  // namespace dewweir::settings
