#include "settings/endpoint.h"

#include <charconv>

namespace dewweir::settings {
namespace {

constexpr int kOctets = 4;
constexpr int kOctetBits = 8;
constexpr unsigned kLargestOctet = 255;
constexpr std::size_t kMaxOctetDigits = 3;
constexpr unsigned kLargestPort = 65535;

// Parses a text that consists of one decimal number of at most `largest`.
std::optional<unsigned> parse_decimal(std::string_view text, unsigned largest) {
    unsigned value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool complete = error == std::errc{} && stop == end;
    if (!complete || value > largest) return std::nullopt;
    return value;
}

}  // namespace

std::optional<std::uint32_t> parse_ip(std::string_view text) {
    std::uint32_t ip = 0;
    for (int octet = 0; octet < kOctets; ++octet) {
        const bool last = octet == kOctets - 1;
        const std::size_t dot = text.find('.');
        if (last != (dot == std::string_view::npos)) return std::nullopt;
        const std::string_view digits = text.substr(0, dot);
        const auto value = parse_decimal(digits, kLargestOctet);
        if (!value || digits.size() > kMaxOctetDigits) return std::nullopt;
        ip = (ip << kOctetBits) | *value;
        if (!last) text.remove_prefix(dot + 1);
    }
    return ip;
}

std::string ip_to_string(std::uint32_t ip) {
    std::string text;
    for (int octet = kOctets - 1; octet >= 0; --octet) {
        const std::uint32_t value = (ip >> (octet * kOctetBits)) & kLargestOctet;
        text += std::to_string(value);
        if (octet > 0) text += '.';
    }
    return text;
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto ip = parse_ip(text.substr(0, colon));
    const auto port = parse_decimal(text.substr(colon + 1), kLargestPort);
    if (!ip || !port || *port == 0) return std::nullopt;
    return Endpoint{*ip, static_cast<std::uint16_t>(*port)};
}

std::string to_string(const Endpoint& endpoint) {
    return ip_to_string(endpoint.ip) + ':' + std::to_string(endpoint.port);
}

}  // namespace dewweir::settings
