// "IPv4:port" as endpoints of sockets.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "settings/endpoint.h"

namespace dewweir::transport {

inline asio::ip::tcp::endpoint tcp_endpoint(const settings::Endpoint& endpoint) {
    return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

inline asio::ip::udp::endpoint udp_endpoint(const settings::Endpoint& endpoint) {
    return {asio::ip::address_v4(endpoint.ip), endpoint.port};
}

inline std::optional<asio::ip::tcp::endpoint> parse_tcp_endpoint(std::string_view text) {
    const auto endpoint = settings::parse_endpoint(text);
    if (!endpoint) return std::nullopt;
    return tcp_endpoint(*endpoint);
}

}  // namespace dewweir::transport
