#include "serve.h"

#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "net/node.h"
#include "operator/settings.h"

namespace dewweir {

using namespace net;

int serve(const OperatorFile* with, LineForm json) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);  // one thread, and no locks for others
    // Caught from here on: one that comes before the gateway stands is heard once it does.
    asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    Configuration told;
    try {
        told = read_configuration();
        // What the environment says holds over the file.
        if (with && !std::getenv("DEWWEIR_LOG")) told.log_level = level_of(with->log_level);
    } catch (const std::exception& fault) {
        std::cerr << "dewweir: configuration: " << fault.what() << '\n';
        return 2;
    }
    try {
        const OperatorFile own = with ? *with : OperatorFile{};
        Log log(std::clog, STDERR_FILENO, told.log_level, own.log_lines,
                own.log_format == "json" && json ? json : text_line);
        std::unique_ptr<Node> node;
        try {
            node = std::make_unique<Node>(io, log, told);
        } catch (const std::invalid_argument& term) {
            std::cerr << "dewweir: configuration: settings: " << term.what() << '\n';
            return 2;
        }
        ends.async_wait([&](const std::error_code& fault, int) {
            if (!fault) node->stop([&] { io.stop(); });
        });
        std::function<void(const std::error_code&, int)> reload = [&](const std::error_code& fault, int) {
            if (fault) return;
            try {
                node->take_over(read_configuration());
            } catch (const std::exception& wrong) {
                log.tell(Event::configuration_bad,
                         std::string("configuration: ") + wrong.what() + "; the old one stays",
                         {{"why", wrong.what()}});
            }
            reloads.async_wait(reload);
        };
        reloads.async_wait(reload);
        log.tell(Event::gateway_ready, "gateway " + told.name + " ready", {{"name", told.name}});
        node->run();
        log.tell(Event::gateway_ended, "gateway " + told.name + " ended", {{"name", told.name}});
    } catch (const std::exception& fault) {
        std::cerr << "dewweir: " << fault.what() << '\n';
        return 1;
    }
    return 0;
}

}  // namespace dewweir
