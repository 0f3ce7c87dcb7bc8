#include "list_words.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "members/fields.h"

namespace dewweir::verdicts {
namespace {

using members::read_field;
using nlohmann::json;

const std::string key_prefix = "list/";

members::GossipItem item_of(const ListedHost& listed, std::uint64_t revision, Time created_at,
                            Time time_to_live) {
    std::string bytes;
    json::to_cbor({{"h", listed.host}, {"r", listed.ready}, {"u", listed.up_since}}, bytes);
    return {key_prefix + listed.host, revision, created_at, time_to_live, bytes};
}

bool read(const members::GossipItem& item, ListedHost& into) {
    const json fields = members::decode_payload(item);
    if (!fields.is_object() || !read_field(fields, "h", into.host) || !read_field(fields, "r", into.ready) ||
        !read_field(fields, "u", into.up_since))
        return false;
    return item.key == key_prefix + into.host;
}

}  // namespace

bool HostListReports::is_item(const members::GossipItem& item) { return item.key.rfind(key_prefix, 0) == 0; }

void HostListReports::publish_change(Time now, const ListedHost& before, const ListedHost& after) {
    // Only changes that should keep requests away are published; a new or recovered host is not urgent.
    const bool worse = (before.ready && !after.ready) || after.up_since > before.up_since;
    // Discovery informs all gateways at about the same time: one that an equal report has already reached
    // does not publish its own.
    const auto there = peer_entries_.find(after.host);
    if (!worse || (there != peer_entries_.end() && there->second.item.sequence >= revision_)) return;
    outgoing_.push_back(own_items_[after.host] = item_of(after, revision_, now, time_to_live_));
}

void HostListReports::update_own_list(Time now, std::uint64_t revision, bool complete,
                                      const std::vector<ListedHost>& hosts) {
    const bool first = own_list_.empty();
    revision_ = revision;
    std::set<std::string> named;
    for (const ListedHost& one : hosts) {
        named.insert(one.host);
        const auto [at, fresh] = own_list_.try_emplace(one.host, one);
        if (!first && !fresh) publish_change(now, at->second, one);
        at->second = one;
    }
    for (auto& [host, one] : own_list_) {
        if (!complete || named.contains(host) || !one.ready) continue;
        const ListedHost before = std::exchange(one, {host, false, one.up_since});
        publish_change(now, before, one);
    }
    if (complete) std::erase_if(own_list_, [&](const auto& each) { return !named.contains(each.first); });
    // Reports that our own list now includes.
    std::erase_if(peer_entries_, [&](const auto& each) {
        const bool known = each.second.item.sequence <= revision_;
        if (known) changed_.push_back(each.first);
        return known;
    });
}

bool HostListReports::receive(Time now, const members::GossipItem& item) {
    ListedHost listed;
    if (item.is_expired(now) || item.time_to_live > 2 * time_to_live_ || item.sequence <= revision_ ||
        !read(item, listed))
        return false;
    const auto at = peer_entries_.find(listed.host);
    if (at != peer_entries_.end() && at->second.item.sequence >= item.sequence) return false;
    peer_entries_[listed.host] = {item, listed};
    changed_.push_back(listed.host);
    return true;
}

std::vector<members::GossipItem> HostListReports::take_outgoing() { return std::exchange(outgoing_, {}); }

HostListReports::Report HostListReports::report_of(Time now, const std::string& host) const {
    const auto at = peer_entries_.find(host);
    if (at == peer_entries_.end() || at->second.item.is_expired(now) || at->second.item.sequence <= revision_)
        return {};
    const auto known = own_list_.find(host);
    const bool later = known != own_list_.end() && at->second.listed.up_since > known->second.up_since;
    return {!at->second.listed.ready, later ? at->second.listed.up_since : 0,
            at->second.item.created_at + at->second.item.time_to_live};
}

std::vector<std::string> HostListReports::take_changed(Time now) {
    std::erase_if(own_items_, [now](const auto& each) { return each.second.is_expired(now); });
    std::erase_if(peer_entries_, [&](const auto& each) {
        if (each.second.item.is_expired(now)) changed_.push_back(each.first);
        return each.second.item.is_expired(now);
    });
    return std::exchange(changed_, {});
}

Time HostListReports::next_timer(Time now) const {
    Time at = std::numeric_limits<Time>::max();
    for (const auto& [host, one] : peer_entries_)
        at = std::min(at, one.item.created_at + one.item.time_to_live);
    return std::max(at, now + 1);
}

std::vector<members::GossipItem> HostListReports::live_items(Time now) const {
    std::vector<members::GossipItem> live;
    for (const auto& [host, item] : own_items_)
        if (!item.is_expired(now)) live.push_back(item);
    for (const auto& [host, one] : peer_entries_)
        if (!one.item.is_expired(now)) live.push_back(one.item);
    return live;
}

}  // namespace dewweir::verdicts
