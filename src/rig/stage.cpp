#include "stage.h"

namespace dewweir::rig {

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
            begin(trouble);
            if (trouble.lasts <= 0) return;
            loop_.deadlines.after(trouble.lasts, [this, trouble, seen] {
                seen(trouble.whom + ": " + trouble.what + " is over");
                end(trouble);
            });
        });
}

void Stage::list(HostService& host, const std::string& phase) {
    if (!discovery_) return;
    discovery_->change({host.id(), host.address(), phase, host.up_since()}, [this, id = host.id(), phase] {
        if (referee_ && phase != "in_service") referee_->draining(loop_.deadlines.now(), id);
    });
}

void Stage::begin(const Trouble& t) {
    if (const auto host = hosts_.find(t.whom); host != hosts_.end()) return begin_host(*host->second, t);
    if (t.whom == "discovery") return discovery_->die();
    model::Counter& model = counter_->model();
    if (t.what == "die") counter_->die();
    else if (t.what == "silent") model.silent = true;
    else if (t.what == "slow") model.slow = t.amount;
    else if (t.what == "empty") model.empty();
    else if (t.what == "spoil") counter_->spoil(static_cast<int>(t.amount));
    else if (t.what == "split") model.silent_parts = static_cast<std::size_t>(t.amount);
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

void Stage::end(const Trouble& t) {
    if (const auto found = hosts_.find(t.whom); found != hosts_.end()) {
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
    if (t.whom == "discovery") return discovery_->start();
    model::Counter& model = counter_->model();
    if (t.what == "die") counter_->start();
    else if (t.what == "silent") model.silent = false;
    else if (t.what == "slow") model.slow = 1;
    else if (t.what == "split") model.silent_parts = 0;
}

}  // namespace dewweir::rig
