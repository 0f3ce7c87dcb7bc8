#include "serve.h"

#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "errors/errors.h"
#include "net/node.h"
#include "operator/settings.h"

namespace dewweir {

using namespace net;

int serve(const Extras* extras) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);  // one thread, and no locks for others
    // Caught from here on: one that comes before the gateway stands is heard once it does.
    asio::signal_set ends(io, SIGTERM, SIGINT), reloads(io, SIGHUP);
    Configuration told;
    try {
        told = read_configuration();
        // What the environment says holds over the file.
        if (extras && !std::getenv("DEWWEIR_LOG")) told.log_level = level_of(extras->with.log_level);
    } catch (const std::exception& fault) {
        std::cerr << errors::told(fault, "configuration: ");
        return errors::exit_code_of(fault);
    }
    try {
        const OperatorFile own = extras ? extras->with : OperatorFile{};
        Log log(std::clog, STDERR_FILENO, told.log_level, own.log_lines,
                own.log_format == "json" && extras->json ? extras->json : text_line);
        std::unique_ptr<Tallies> tallies;
        if (own.counts_every > 0 && extras->tallies) tallies = extras->tallies(own.counts_every, told.goals);
        std::unique_ptr<Node> node;
        try {
            node = std::make_unique<Node>(io, log, told, tallies.get());
        } catch (const errors::BadSetting& setting) {
            std::cerr << errors::told(setting, "configuration: settings.");
            return setting.exit_code();
        }
        std::unique_ptr<PeerObserver> peer_observer;
        if (extras && extras->peer_observer)
            peer_observer = extras->peer_observer(node->part(), node->report_receiver());
        node->keep(peer_observer.get());
        // Whatever ends this: the observer goes before the node, which must not call it then.
        const auto leaves = [&](Node* of) { of->keep(nullptr); };
        const std::unique_ptr<Node, decltype(leaves)> kept(node.get(), leaves);
        ends.async_wait([&](const std::error_code& fault, int) {
            if (fault) return;
            if (peer_observer) peer_observer->leave();
            node->stop([&] { io.stop(); });
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
        if (extras)
            log.tell(Event::gateway_ready, "gateway " + told.name + " ready",
                     {{"name", told.name},
                      {"label", extras->label},
                      {"version", extras->version},
                      {"settings", extras->settings}});
        else log.tell(Event::gateway_ready, "gateway " + told.name + " ready", {{"name", told.name}});
        node->run();
        log.tell(Event::gateway_ended, "gateway " + told.name + " ended", {{"name", told.name}});
    } catch (const std::exception& fault) {
        std::cerr << errors::told(fault);
        return errors::exit_code_of(fault);
    }
    return 0;
}

}  // namespace dewweir
