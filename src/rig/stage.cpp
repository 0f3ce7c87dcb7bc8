#include "stage.h"

#include <algorithm>
#include <csignal>
#include <limits>

namespace dewweir::rig {
namespace {

constexpr Time a_second = 10000;
constexpr Time look_again = a_second;
constexpr Time for_good = std::numeric_limits<Time>::max();
// A watch is given up after 4.5 s of silence, and asked for again within two seconds.
constexpr Time watch_found_again = 7 * a_second;

}  // namespace

void Stage::add_host(const std::string& id, const model::HostTraits& traits, std::uint64_t seed,
                     const tcp::endpoint& at) {
    hosts_[id] = std::make_unique<HostService>(loop_, id, traits, seed, at, referee_, &names_);
}

void Stage::add_counter(const model::CounterTraits& traits, const tcp::endpoint& at) {
    counter_ = std::make_unique<CounterService>(loop_, traits, at);
}

void Stage::add_discovery(const tcp::endpoint& at, Time delay) {
    discovery_ = std::make_unique<DiscoveryService>(loop_, at, delay);
}

std::vector<std::string> Stage::there() const {
    std::vector<std::string> all;
    for (const auto& [id, host] : hosts_) all.push_back(id);
    if (counter_) all.push_back("counter");
    if (discovery_) all.push_back("discovery");
    return all;
}

void Stage::play(const std::vector<Trouble>& script, std::function<void(const std::string&)> seen) {
    for (const Trouble& trouble : script)
        loop_.deadlines.after(trouble.at, [this, trouble, seen] {
            seen(trouble.whom + ": " + trouble.what);
            for (const std::string& one : trouble.whoms) begin(trouble, one);
            if (trouble.lasts <= 0) return;
            loop_.deadlines.after(trouble.lasts, [this, trouble, seen] {
                seen(trouble.whom + ": " + trouble.what + " is over");
                for (const std::string& one : trouble.whoms) end(trouble, one);
            });
        });
}

void Stage::list(HostService& host, const std::string& phase) {
    if (!discovery_) return;
    discovery_->change({host.id(), host.address(), phase, host.up_since()}, [this, id = host.id(), phase] {
        if (referee_ && phase != "in_service") draining_once_told(id, false, loop_.deadlines.now());
    });
}

// While a link to discovery stops what it is given, not all gateways have been told: the grace begins once
// all have passed for as long as a lost watch takes to be found again.
void Stage::draining_once_told(const std::string& host, bool stopped, Time since) {
    const Time now = loop_.deadlines.now();
    if (links_ && !links_->all_pass_to("discovery")) stopped = true, since = now;
    if (!stopped || (since < now && now - since >= watch_found_again)) return referee_->draining(now, host);
    loop_.deadlines.after(look_again,
                          [this, host, stopped, since] { draining_once_told(host, stopped, since); });
}

std::string Stage::excuses(const Trouble& t, const std::string& whom) {
    if (t.what == "kill" || t.what == "pause") return whom;
    const std::string clients = "clients > ";
    return whom.rfind(clients, 0) == 0 ? whom.substr(clients.size()) : "";
}

bool Stage::excused(const std::string& gateway, Time from, Time to) const {
    // A relay takes in who connects before it knows that nobody is there.
    const std::string clients = "clients > " + gateway;
    if (links_ && links_->has(clients) && links_->link(clients).refused_between(from, to)) return true;
    return std::any_of(excuses_.begin(), excuses_.end(), [&](const Excuse& one) {
        return one.gateway == gateway && one.from <= to && one.to >= from;
    });
}

void Stage::begin(const Trouble& t, const std::string& whom) {
    if (const std::string gateway = excuses(t, whom); !gateway.empty()) {
        const Time now = loop_.deadlines.now();
        excuses_.push_back({gateway, now, t.lasts > 0 ? now + t.lasts + a_second : for_good});
    }
    if (links_ && links_->has(whom)) return links_->begin(whom, t);
    if (gateways_ && gateways_->has(whom)) return begin_gateway(t, whom);
    if (const auto host = hosts_.find(whom); host != hosts_.end()) return begin_host(*host->second, t);
    if (whom == "discovery") {
        if (t.what == "die") discovery_->die();
        else if (t.what == "anew") discovery_->anew();
        else if (t.what == "slow") discovery_->slow(t.amount);
        return;
    }
    model::Counter& model = counter_->model();
    if (t.what == "die") counter_->die();
    else if (t.what == "silent") model.silent = true;
    else if (t.what == "slow") model.slow = t.amount;
    else if (t.what == "empty") model.empty();
    else if (t.what == "spoil") counter_->spoil(static_cast<int>(t.amount));
    else if (t.what == "split") model.silent_parts = static_cast<std::size_t>(t.amount);
}

void Stage::begin_gateway(const Trouble& t, const std::string& whom) {
    if (t.what == "kill") gateways_->signal(whom, SIGKILL);
    else if (t.what == "pause") gateways_->signal(whom, SIGSTOP);
    else if (t.what == "end") gateways_->signal(whom, SIGTERM);
}

// Once the one before has ended: one that was told to may take its time.
void Stage::relaunch(const std::string& gateway) {
    if (gateways_->runs(gateway)) {
        loop_.deadlines.after(look_again / 20, [this, gateway] { relaunch(gateway); });
        return;
    }
    gateways_->launch(gateway);
}

void Stage::begin_host(HostService& host, const Trouble& t) {
    model::HostTroubles& troubles = host.troubles();
    if (t.what == "die") host.die();
    else if (t.what == "silent") host.cut(true);
    else if (t.what == "drain") list(host, "terminating");
    else if (t.what == "slow") troubles.slow = t.amount;
    else if (t.what == "errors") troubles.errors = t.amount;
    else if (t.what == "spoil") troubles.spoilt = t.amount;
    else if (t.what == "mute") troubles.mute = t.amount;
}

void Stage::end(const Trouble& t, const std::string& whom) {
    if (links_ && links_->has(whom)) return links_->end(whom, t);
    if (gateways_ && gateways_->has(whom))
        return t.what == "pause" ? gateways_->signal(whom, SIGCONT) : relaunch(whom);
    if (const auto found = hosts_.find(whom); found != hosts_.end()) {
        HostService& host = *found->second;
        if (t.what == "die") host.start();
        else if (t.what == "silent") host.cut(false);
        else if (t.what == "drain" && referee_) referee_->ready(host.id());
        else if (t.what == "slow") host.troubles().slow = 1;
        else if (t.what == "errors") host.troubles().errors = 0;
        else if (t.what == "spoil") host.troubles().spoilt = 0;
        else if (t.what == "mute") host.troubles().mute = 0;
        if (t.what == "die" || t.what == "drain") list(host, "in_service");
        return;
    }
    if (whom == "discovery") {
        if (t.what == "slow") discovery_->slow(1);
        return discovery_->start();
    }
    model::Counter& model = counter_->model();
    if (t.what == "die") counter_->start();
    else if (t.what == "silent") model.silent = false;
    else if (t.what == "slow") model.slow = 1;
    else if (t.what == "split") model.silent_parts = 0;
}

}  // namespace dewweir::rig
