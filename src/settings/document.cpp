#include "settings/document.h"

#include <rapidjson/pointer.h>

#include <string>
#include <vector>

namespace dewweir::settings {
namespace {

constexpr std::string_view kBlanks = " \t\r";

std::string_view trimmed(std::string_view text) {
    const std::size_t first = text.find_first_not_of(kBlanks);
    if (first == std::string_view::npos) return {};
    const std::size_t last = text.find_last_not_of(kBlanks);
    return text.substr(first, last - first + 1);
}

// Takes the next line off the text.
std::string_view next_line(std::string_view& text) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return trimmed(line);
}

bool is_zone(std::string_view key) {
    return key.size() > kZonesKey.size() && key.starts_with(kZonesKey) && key[kZonesKey.size()] == '.';
}

std::vector<std::string_view> split_key(std::string_view key) {
    std::vector<std::string_view> parts;
    const std::size_t name = is_zone(key) ? kZonesKey.size() + 1 : key.size();
    std::size_t start = 0;
    while (start < name) {
        const std::size_t dot = key.find('.', start);
        const std::size_t end = dot < name ? dot : key.size();
        parts.push_back(key.substr(start, end - start));
        start = end + 1;
    }
    if (name < key.size()) parts.push_back(key.substr(name));
    return parts;
}

void set_text(rapidjson::Document& document, std::string_view key, std::string_view value) {
    const std::vector<std::string_view> parts = split_key(key);
    std::vector<rapidjson::Pointer::Token> tokens;
    for (const std::string_view part : parts) {
        const auto length = static_cast<rapidjson::SizeType>(part.size());
        // Never an index of an array: a zone may be called 7.
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
            return SettingsError{std::string(line), SettingsFault::malformed, "a line is key=value"};
        }
        set_text(document, key, trimmed(line.substr(equals + 1)));
    }
    return document;
}

}  // namespace dewweir::settings
