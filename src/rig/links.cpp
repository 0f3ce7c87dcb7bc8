#include "links.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace dewweir::rig {
namespace {

constexpr double tenths_a_ms = 10;
const std::string arrow = " > ";

}  // namespace

std::uint64_t Links::seed_of(const std::string& name) const { return XXH64(name.data(), name.size(), seed_); }

Link& Links::add(const std::string& from, const std::string& to, const tcp::endpoint& at) {
    const std::string name = from + arrow + to;
    return *(links_[name] = std::make_unique<Link>(loop_, name, at, seed_of(name)));
}

DatagramLink& Links::add_datagrams(const std::string& from, const std::string& to) {
    const std::string name = from + arrow + to;
    return *(datagrams_[name] = std::make_unique<DatagramLink>(loop_, name, seed_of(name)));
}

bool Links::all_pass_to(const std::string& to) const {
    for (const auto& [name, link] : links_)
        if (name.compare(name.find(arrow) + arrow.size(), name.npos, to) == 0 && !link->passes())
            return false;
    return true;
}

void Links::play(const std::string& name, const Trouble& t, bool on) {
    const Time delay = on ? static_cast<Time>(t.amount * tenths_a_ms) : 0, jitter = on ? t.jitter : 0;
    if (const auto found = links_.find(name); found != links_.end()) {
        Link& link = *found->second;
        if (t.what == "cut") link.cut(on);
        else if (t.what == "silence") link.silence(t.way, on);
        else if (t.what == "delay") link.delay(delay, jitter);
        else if (t.what == "throttle") link.throttle(on ? t.amount : 0);
        else if (t.what == "break") link.break_after(on ? static_cast<std::int64_t>(t.amount) : -1);
        return;
    }
    DatagramFaults& faults = datagrams_.at(name)->faults;
    const double part = on ? t.amount : 0;
    if (t.what == "silence") {
        if (t.way != Way::back) faults.silent_there = on;
        if (t.way != Way::there) faults.silent_back = on;
    } else if (t.what == "delay") {
        faults.delay = delay, faults.jitter = jitter;
    } else if (t.what == "lose") {
        faults.loss = part;
    } else if (t.what == "double") {
        faults.duplicates = part;
    } else if (t.what == "reorder") {
        faults.reordered = part;
    }
}

nlohmann::json Links::report() const {
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [name, link] : links_) {
        const LinkCounts& c = link->counts();
        if (c.connections + c.reset == 0) continue;
        all[name] = {{"connections", c.connections},
                     {"bytes_there", c.there},
                     {"bytes_back", c.back},
                     {"refused", c.refused},
                     {"reset", c.reset},
                     {"broken", c.broken},
                     {"held", c.held},
                     {"delayed", c.late},
                     {"bytes_dropped", c.dropped}};
    }
    for (const auto& [name, link] : datagrams_) {
        const DatagramCounts& c = link->counts();
        if (c.there + c.back + c.lost + c.silenced == 0) continue;
        all[name] = {{"there", c.there},     {"back", c.back},           {"lost", c.lost},
                     {"doubled", c.doubled}, {"reordered", c.reordered}, {"silenced", c.silenced},
                     {"delayed", c.late}};
    }
    return all;
}

}  // namespace dewweir::rig
