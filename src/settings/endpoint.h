// An IPv4 address with a port: where something listens. Pure data; opens nothing.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dewweir::settings {

struct Endpoint {
    std::uint32_t ip = 0;    // in host order: 10.1.0.22 is 0x0a010016
    std::uint16_t port = 0;  // 1 to 65535; 0 is none

    auto operator<=>(const Endpoint&) const = default;
};

// "10.1.0.22" as a number in host order; nothing unless the text is four decimal numbers from 0 to 255.
std::optional<std::uint32_t> parse_ip(std::string_view text);
std::string ip_to_string(std::uint32_t ip);

// "10.1.0.22:8389"; nothing where the address is not IPv4 or the port is not from 1 to 65535.
std::optional<Endpoint> parse_endpoint(std::string_view text);
std::string to_string(const Endpoint& endpoint);

}  // namespace dewweir::settings

template <> struct std::hash<dewweir::settings::Endpoint> {
    std::size_t operator()(const dewweir::settings::Endpoint& endpoint) const noexcept {
        constexpr int kPortBits = 16;
        const std::uint64_t both = (std::uint64_t{endpoint.ip} << kPortBits) | endpoint.port;
        return std::hash<std::uint64_t>{}(both);
    }
};
