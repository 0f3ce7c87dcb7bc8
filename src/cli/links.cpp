// stand-in links: relays with faults between processes that somebody else has started.
#include "rig/links.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "arguments.h"
#include "commands.h"
#include "rig/stage.h"

namespace dewweir::cli {
namespace {

struct Options {
    std::vector<std::string> links, datagrams;
    std::vector<std::string> faults;
    std::uint64_t seed = 1;
    bool on_signal = false;
};

struct Ends {
    std::string from, to, at;
};

// `gateway-1 > counter=127.0.0.1:9000`
Ends ends_of(const std::string& text) {
    const std::string arrow = " > ";
    const std::size_t middle = text.find(arrow), equals = text.find('=');
    if (middle == text.npos || middle == 0 || equals == text.npos || equals <= middle + arrow.size())
        throw CLI::ValidationError(text, "must be \"FROM > TO=ADDRESS\"");
    return {text.substr(0, middle), text.substr(middle + arrow.size(), equals - middle - arrow.size()),
            text.substr(equals + 1)};
}

asio::ip::udp::endpoint datagrams_at(const std::string& text) {
    const auto at = address_of(text);
    return {at.address(), at.port()};
}

int carry(const Options& o) {
    rig::Loop loop(8192);
    rig::Stage stage(loop, nullptr, {});
    rig::Links links(loop, o.seed);
    stage.with(&links, nullptr);
    std::vector<std::string> names;
    for (const std::string& one : o.links) {
        const Ends ends = ends_of(one);
        const rig::Link& link = links.add(ends.from, ends.to, address_of(ends.at));
        names.push_back(link.name());
        std::cout << link.name() << " listens at " << rig::text_of(link.address()) << std::endl;
    }
    for (const std::string& one : o.datagrams) {
        const Ends ends = ends_of(one);
        const std::size_t comma = ends.at.find(',');
        if (comma == ends.at.npos)
            throw CLI::ValidationError(one, "must be \"FROM > TO=ITS ADDRESS,ITS ADDRESS\"");
        rig::DatagramLink& link = links.add_datagrams(ends.from, ends.to);
        link.join(datagrams_at(ends.at.substr(0, comma)), datagrams_at(ends.at.substr(comma + 1)));
        names.push_back(link.name());
        std::cout << link.name() << " is near " << ends.from << " at 127.0.0.1:" << link.near_a().port()
                  << ", near " << ends.to << " at 127.0.0.1:" << link.near_b().port() << std::endl;
    }
    std::vector<std::vector<rig::Trouble>> scripts;
    for (const std::string& file : o.faults) scripts.push_back(rig::read_script(file, names));
    std::size_t next = 0;
    const auto play = [&] {
        if (scripts.empty()) return;
        loop.deadlines.update_now();
        stage.play(scripts[std::min(next++, scripts.size() - 1)],
                   [](const std::string& what) { std::cout << what << std::endl; });
    };
    asio::signal_set ends(loop.io, SIGINT, SIGTERM), plays(loop.io, SIGUSR1);
    ends.async_wait([&](const std::error_code& fault, int) {
        if (!fault) loop.io.stop();
    });
    std::function<void(const std::error_code&, int)> asked = [&](const std::error_code& fault, int) {
        if (fault) return;
        play();
        plays.async_wait(asked);
    };
    plays.async_wait(asked);
    std::cout << "ready" << std::endl;
    if (!o.on_signal) play();
    loop.run();
    std::cout << links.report().dump(1) << std::endl;
    return fine;
}

}  // namespace

void add_links(CLI::App& stand, int& end) {
    const auto o = std::make_shared<Options>();
    CLI::App* const links = stand.add_subcommand(
        "links", "relays with faults between any two ends; tells at its end what it did");
    links->add_option("--link", o->links, "\"FROM > TO=ADDRESS\", one for each: TO is reached there");
    links->add_option("--datagrams", o->datagrams,
                      "\"FROM > TO=ADDRESS,ADDRESS\", one for each: where both really are");
    links->add_option("--faults", o->faults, "a script of troubles; of several, each is played in turn");
    links->add_flag("--on-signal", o->on_signal, "the next is played at each SIGUSR1, none at once");
    links->add_option("--seed", o->seed, "of jitter and loss")->capture_default_str();
    links->callback([o, &end] { end = carry(*o); });
}

}  // namespace dewweir::cli
