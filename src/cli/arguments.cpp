#include "arguments.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace dewweir::cli {

asio::ip::tcp::endpoint address_of(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::error_code fault;
    const auto host = asio::ip::make_address_v4(text.substr(0, colon), fault);
    char* end = nullptr;
    const char* const digits = colon == text.npos ? "" : text.c_str() + colon + 1;
    const long port = std::strtol(digits, &end, 10);
    if (fault || !*digits || *end || port < 0 || port > 65535)
        throw CLI::ValidationError(text, "must be an IPv4 address and a port, as 127.0.0.1:9000");
    if (!host.is_loopback()) throw CLI::ValidationError(text, "must be a loopback address, 127.0.0.0/8");
    return {host, static_cast<std::uint16_t>(port)};
}

}  // namespace dewweir::cli
