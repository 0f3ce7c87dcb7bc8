#include "list_words.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "members/fields.h"

namespace dewweir::verdicts {
namespace {

using members::take;
using nlohmann::json;

const std::string about_list = "list/";

members::Word word_of(const ListedHost& is, std::uint64_t revision, Time born, Time life) {
    std::string bytes;
    json::to_cbor({{"h", is.host}, {"r", is.ready}, {"u", is.up_since}}, bytes);
    return {about_list + is.host, revision, born, life, bytes};
}

bool read(const members::Word& word, ListedHost& into) {
    const json told = members::carried_by(word);
    if (!told.is_object() || !take(told, "h", into.host) || !take(told, "r", into.ready) ||
        !take(told, "u", into.up_since))
        return false;
    return word.key == about_list + into.host;
}

}  // namespace

bool ListWords::is_one(const members::Word& word) { return word.key.rfind(about_list, 0) == 0; }

void ListWords::note(Time now, const ListedHost& before, const ListedHost& is) {
    // A host that is new, or back as it was, is nobody's hurry: only what must not be sent to is told.
    const bool worse = (before.ready && !is.ready) || is.up_since > before.up_since;
    // Told to all at once, all would say it: those whom the word has reached already need not.
    const auto there = heard_.find(is.host);
    if (!worse || (there != heard_.end() && there->second.word.rank >= revision_)) return;
    telling_.push_back(told_[is.host] = word_of(is, revision_, now, life_));
}

void ListWords::told(Time now, std::uint64_t revision, bool whole, const std::vector<ListedHost>& hosts) {
    const bool first = ours_.empty();
    revision_ = revision;
    std::set<std::string> named;
    for (const ListedHost& one : hosts) {
        named.insert(one.host);
        const auto [at, fresh] = ours_.try_emplace(one.host, one);
        if (!first && !fresh) note(now, at->second, one);
        at->second = one;
    }
    for (auto& [host, one] : ours_) {
        if (!whole || named.contains(host) || !one.ready) continue;
        const ListedHost before = std::exchange(one, {host, false, one.up_since});
        note(now, before, one);
    }
    if (whole) std::erase_if(ours_, [&](const auto& each) { return !named.contains(each.first); });
    // Ours is as late as these now.
    std::erase_if(heard_, [&](const auto& each) {
        const bool known = each.second.word.rank <= revision_;
        if (known) changed_.push_back(each.first);
        return known;
    });
}

bool ListWords::came(Time now, const members::Word& word) {
    ListedHost is;
    if (word.past(now) || word.life > 2 * life_ || word.rank <= revision_ || !read(word, is)) return false;
    const auto at = heard_.find(is.host);
    if (at != heard_.end() && at->second.word.rank >= word.rank) return false;
    heard_[is.host] = {word, is};
    changed_.push_back(is.host);
    return true;
}

std::vector<members::Word> ListWords::to_tell() { return std::exchange(telling_, {}); }

ListWords::Said ListWords::said_of(Time now, const std::string& host) const {
    const auto at = heard_.find(host);
    if (at == heard_.end() || at->second.word.past(now) || at->second.word.rank <= revision_) return {};
    const auto known = ours_.find(host);
    const bool later = known != ours_.end() && at->second.is.up_since > known->second.up_since;
    return {!at->second.is.ready, later ? at->second.is.up_since : 0,
            at->second.word.born + at->second.word.life};
}

std::vector<std::string> ListWords::changed(Time now) {
    std::erase_if(told_, [now](const auto& each) { return each.second.past(now); });
    std::erase_if(heard_, [&](const auto& each) {
        if (each.second.word.past(now)) changed_.push_back(each.first);
        return each.second.word.past(now);
    });
    return std::exchange(changed_, {});
}

Time ListWords::next(Time now) const {
    Time at = std::numeric_limits<Time>::max();
    for (const auto& [host, one] : heard_) at = std::min(at, one.word.born + one.word.life);
    return std::max(at, now + 1);
}

std::vector<members::Word> ListWords::all(Time now) const {
    std::vector<members::Word> all;
    for (const auto& [host, word] : told_)
        if (!word.past(now)) all.push_back(word);
    for (const auto& [host, one] : heard_)
        if (!one.word.past(now)) all.push_back(one.word);
    return all;
}

}  // namespace dewweir::verdicts
