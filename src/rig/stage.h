// Stand-ins together, and the script that befalls them. Owns them all. It must never do to one what the
// script does not say.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "counter_service.h"
#include "discovery_service.h"
#include "gateways.h"
#include "host_service.h"
#include "links.h"
#include "script.h"

namespace dewweir::rig {

class Stage {
  public:
    Stage(Loop& loop, Referee* referee, HostService::Names names)
        : loop_(loop), referee_(referee), names_(std::move(names)) {}

    void add_host(const std::string& id, const model::HostTraits& traits, std::uint64_t seed,
                  const tcp::endpoint& at);
    void add_counter(const model::CounterTraits& traits, const tcp::endpoint& at);
    void add_discovery(const tcp::endpoint& at, Time delay);
    // Links and gateways that a script can name; both must outlive the play.
    void with(Links* links, Gateways* gateways) { links_ = links, gateways_ = gateways; }

    std::vector<std::string> there() const;  // all that a script can name, but for links and gateways
    HostService& host(const std::string& id) { return *hosts_.at(id); }
    const std::map<std::string, std::unique_ptr<HostService>>& hosts() const { return hosts_; }
    CounterService& counter() { return *counter_; }
    const CounterService& counter() const { return *counter_; }
    DiscoveryService& discovery() { return *discovery_; }

    // From now on; `seen` is told of each beginning and end, as `counter: die`.
    void play(const std::vector<Trouble>& script, std::function<void(const std::string&)> seen);
    // Whether, at any time from then to then, the script kept this gateway from answering its clients:
    // killed, paused, with trouble on the link to them, or not there and so refused behind that link. No
    // gateway breaks the first rule by that.
    bool excused(const std::string& gateway, Time from, Time to) const;

  private:
    void begin(const Trouble& trouble, const std::string& whom);
    void end(const Trouble& trouble, const std::string& whom);
    void begin_gateway(const Trouble& trouble, const std::string& whom);
    void relaunch(const std::string& gateway);
    void draining_once_told(const std::string& host, bool stopped, Time since);
    static std::string excuses(const Trouble& trouble, const std::string& whom);
    void begin_host(HostService& host, const Trouble& trouble);
    void list(HostService& host, const std::string& phase);

    Loop& loop_;
    Referee* referee_;
    HostService::Names names_;
    std::map<std::string, std::unique_ptr<HostService>> hosts_;
    std::unique_ptr<CounterService> counter_;
    std::unique_ptr<DiscoveryService> discovery_;
    Links* links_ = nullptr;
    Gateways* gateways_ = nullptr;
    struct Excuse {
        std::string gateway;
        Time from, to;
        // before
    };
    std::vector<Excuse> excuses_;
};

}  // namespace dewweir::rig
