// An IPv4 address with a port, and its text form. Opens no sockets.
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
    std::uint32_t ip = 0;    // in host byte order: 10.1.0.22 is 0x0a010016
    std::uint16_t port = 0;  // 1 to 65535; 0: none

    auto operator<=>(const Endpoint&) const = default;
};

// Parses "10.1.0.22" into a number in host byte order. Returns nothing unless the text is four decimal
// numbers from 0 to 255.
std::optional<std::uint32_t> parse_ip(std::string_view text);
std::string ip_to_string(std::uint32_t ip);

// Parses "10.1.0.22:8389". Returns nothing if the address is not IPv4 or the port not from 1 to 65535.
std::optional<Endpoint> parse_endpoint(std::string_view text);
std::string to_string(const Endpoint& endpoint);

}  // namespace dewweir::settings

template <> struct std::hash<dewweir::settings::Endpoint> {
    std::size_t operator()(const dewweir::settings::Endpoint& endpoint) const noexcept {
        constexpr int kPortBits = 16;
        const std::uint64_t ip_and_port = (std::uint64_t{endpoint.ip} << kPortBits) | endpoint.port;
        return std::hash<std::uint64_t>{}(ip_and_port);
    }
};
