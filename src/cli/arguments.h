// What several sub-commands read off the command line.
#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

namespace dewweir::cli {

// `127.0.0.1:9000`; stand-ins and the load generator keep to loopback, so that a slip hits nobody. Throws
// CLI::ValidationError.
asio::ip::tcp::endpoint address_of(const std::string& text);

}  // namespace dewweir::cli
