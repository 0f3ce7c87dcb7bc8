#include "configuration/version.h"

#include <charconv>
#include <cstddef>

namespace dewweir::configuration {
namespace {

constexpr std::size_t kDigits = 8;
constexpr int kBase = 16;

}  // namespace

std::optional<Version> parse_version(std::string_view text) {
    if (text.size() != kDigits) return std::nullopt;
    Version version;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, version.number, kBase);
    const bool complete = error == std::errc{} && stop == end;
    if (!complete) return std::nullopt;
    return version;
}

std::optional<Version> parse_if_match(std::string_view text) {
    const bool quoted = text.size() >= 2 && text.front() == '"' && text.back() == '"';
    if (quoted) text = text.substr(1, text.size() - 2);
    if (text == "0") return Version{};
    return parse_version(text);
}

std::string to_string(Version version) {
    std::string digits(kDigits, '0');
    for (std::size_t position = kDigits; position > 0; --position) {
        digits[position - 1] = "0123456789abcdef"[version.number % kBase];
        version.number /= kBase;
    }
    return digits;
}

}  // namespace dewweir::configuration
