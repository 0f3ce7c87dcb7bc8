#include "storage/keys.h"

#include <charconv>

namespace dewweir::storage::keys {

namespace {

constexpr std::size_t number_digits = 20;  // of the largest 64-bit number

std::string numbered(std::string_view prefix, std::uint64_t number) {
    const std::string digits = std::to_string(number);
    std::string key(prefix);
    key.append(number_digits - digits.size(), '0');
    key += digits;
    return key;
}

}  // namespace

std::string entry(consensus::Index index) { return numbered(entry_prefix, index); }

std::string generation_prefix(std::uint64_t generation) { return numbered(chunk_prefix, generation) + "/"; }

std::string chunk(std::uint64_t generation, std::uint64_t number) {
    return numbered(generation_prefix(generation), number);
}

std::string write_marker(std::uint64_t number) { return numbered(write_prefix, number); }

std::optional<std::uint64_t> number_after(std::string_view prefix, std::string_view key) {
    if (!key.starts_with(prefix)) return std::nullopt;
    const std::string_view digits = key.substr(prefix.size());
    if (digits.size() != number_digits) return std::nullopt;
    std::uint64_t number = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return number;
}

}  // namespace dewweir::storage::keys
