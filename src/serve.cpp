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
    asio::io_context io(1);  // single-threaded: asio needs no locks
    // Signals are caught from here on and handled once the gateway is up.
    asio::signal_set stop_signals(io, SIGTERM, SIGINT), reload_signals(io, SIGHUP);
    Configuration configuration;
    try {
        configuration = read_configuration();
        // The environment takes precedence over the operator file.
        if (extras && !std::getenv("DEWWEIR_LOG"))
            configuration.log_level = parse_level(extras->with.log_level);
    } catch (const std::exception& fault) {
        std::cerr << errors::describe(fault, "configuration: ");
        return errors::exit_code_of(fault);
    }
    try {
        const OperatorFile own = extras ? extras->with : OperatorFile{};
        Log log(std::clog, STDERR_FILENO, configuration.log_level, own.log_lines,
                own.log_format == "json" && extras->json ? extras->json : text_line);
        std::unique_ptr<ActivityObserver> activity_observer;
        if (own.counts_every > 0 && extras->tallies)
            activity_observer = extras->tallies(own.counts_every, configuration.latency_goals);
        std::unique_ptr<Node> node;
        try {
            node = std::make_unique<Node>(io, log, configuration, activity_observer.get());
        } catch (const errors::BadSetting& setting) {
            std::cerr << errors::describe(setting, "configuration: settings.");
            return setting.exit_code();
        }
        std::unique_ptr<PeerObserver> peer_observer;
        if (extras && extras->peer_observer)
            peer_observer = extras->peer_observer(node->context(), node->report_receiver());
        node->set_peer_observer(peer_observer.get());
        // On every exit path the observer is destroyed before the node, which must not call it any more.
        const auto detach = [&](Node* of) { of->set_peer_observer(nullptr); };
        const std::unique_ptr<Node, decltype(detach)> detach_at_exit(node.get(), detach);
        stop_signals.async_wait([&](const std::error_code& fault, int) {
            if (fault) return;
            if (peer_observer) peer_observer->leave();
            node->stop([&] { io.stop(); });
        });
        std::function<void(const std::error_code&, int)> reload = [&](const std::error_code& fault, int) {
            if (fault) return;
            try {
                node->reload(read_configuration());
            } catch (const std::exception& wrong) {
                log.record(Event::configuration_bad,
                           std::string("configuration: ") + wrong.what() + "; the old one stays",
                           {{"why", wrong.what()}});
            }
            reload_signals.async_wait(reload);
        };
        reload_signals.async_wait(reload);
        if (extras)
            log.record(Event::gateway_ready, "gateway " + configuration.name + " ready",
                       {{"name", configuration.name},
                        {"label", extras->label},
                        {"version", extras->version},
                        {"settings", extras->settings}});
        else
            log.record(Event::gateway_ready, "gateway " + configuration.name + " ready",
                       {{"name", configuration.name}});
        node->run();
        log.record(Event::gateway_ended, "gateway " + configuration.name + " ended",
                   {{"name", configuration.name}});
    } catch (const std::exception& fault) {
        std::cerr << errors::describe(fault);
        return errors::exit_code_of(fault);
    }
    return 0;
}

}  // namespace dewweir
