// The real gateway: reads what it is told at start, runs one loop until SIGTERM and whatever is then still to
// be answered, and ends. Exits with 2 on a bad configuration.
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "net/node.h"

using namespace dewweir::net;

int main() {
    Configuration told;
    try {
        told = read_configuration();
    } catch (const std::exception& fault) {
        std::cerr << "dewweir: configuration: " << fault.what() << '\n';
        return 2;
    }
    try {
        std::signal(SIGPIPE, SIG_IGN);
        Log log(std::clog, STDERR_FILENO, told.log_level);
        asio::io_context io(1);  // one thread, and no locks for others
        std::unique_ptr<Node> node;
        try {
            node = std::make_unique<Node>(io, log, told);
        } catch (const std::invalid_argument& term) {
            std::cerr << "dewweir: configuration: settings: " << term.what() << '\n';
            return 2;
        }
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([&](const std::error_code& fault, int) {
            if (!fault) node->stop([&] { io.stop(); });
        });
        log.line(Level::info, "gateway " + told.name + " ready");
        node->run();
        log.line(Level::info, "gateway " + told.name + " ended");
    } catch (const std::exception& fault) {
        std::cerr << "dewweir: " << fault.what() << '\n';
        return 1;
    }
}
