#include "count_words.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "members/fields.h"

namespace dewweir::verdicts {
namespace {

using members::take;
using nlohmann::json;

const std::string about_count = "count/";
constexpr double ranks_a_unit = 1024;     // of two totals the higher is the later word
constexpr double most_units = 1LL << 40;  // of a name; more is nonsense

std::string key_of(std::uint64_t name, const std::string& origin) {
    return about_count + std::to_string(name) + "/" + origin;
}

struct Read {
    std::uint64_t name = 0;
    std::string origin;
    double total = 0;
};

bool read(const members::Word& word, Read& into) {
    const json told = members::carried_by(word);
    if (!told.is_object() || !take(told, "n", into.name) || !take(told, "o", into.origin) ||
        !take(told, "t", into.total))
        return false;
    return into.total > 0 && into.total < most_units && word.key == key_of(into.name, into.origin) &&
           word.rank == static_cast<std::uint64_t>(into.total * ranks_a_unit);
}

}  // namespace

bool CountWords::is_one(const members::Word& word) { return word.key.rfind(about_count, 0) == 0; }

// The second highest of those that hold: one alone may be wrong.
double CountWords::second(const Origins& origins, Time now, const std::string& but_for) {
    double highest = 0, next = 0;
    for (const auto& [origin, one] : origins) {
        if (origin == but_for || one.word.past(now)) continue;
        next = std::max(next, std::min(highest, one.total));
        highest = std::max(highest, one.total);
    }
    return next;
}

bool CountWords::told(Time now, std::uint64_t name, double total) {
    if (total < terms_.least || total >= most_units) return false;
    Origins& origins = names_[name];
    Total& own = origins[self_];
    // Polite: where two others have said nearly as much, one more is no news.
    if (total < terms_.growth * own.total || total < terms_.growth * second(origins, now, self_))
        return false;
    std::string bytes;
    json::to_cbor({{"n", name}, {"o", self_}, {"t", total}}, bytes);
    own = {total,
           {key_of(name, self_), static_cast<std::uint64_t>(total * ranks_a_unit), now, terms_.life, bytes}};
    telling_.push_back(own.word);
    return true;
}

bool CountWords::came(Time now, const members::Word& word) {
    Read is;
    if (word.past(now) || word.life > 2 * terms_.life || !read(word, is) || is.origin == self_) return false;
    Total& held = names_[is.name][is.origin];
    if (word.rank <= held.word.rank) return false;
    held = {is.total, word};
    return true;
}

std::vector<members::Word> CountWords::to_tell() { return std::exchange(telling_, {}); }

double CountWords::known(Time now, std::uint64_t name) const {
    const auto at = names_.find(name);
    return at == names_.end() ? 0 : second(at->second, now, self_);
}

void CountWords::forget(Time now) {
    if (now < swept_ + sweep_every()) return;
    swept_ = now;
    for (auto& [name, origins] : names_)
        std::erase_if(origins, [now](const auto& each) { return each.second.word.past(now); });
    std::erase_if(names_, [](const auto& each) { return each.second.empty(); });
}

Time CountWords::next(Time now) const {
    if (names_.empty()) return std::numeric_limits<Time>::max();
    return std::max(swept_ + sweep_every(), now + 1);
}

std::vector<members::Word> CountWords::all(Time now) const {
    std::vector<members::Word> all;
    for (const auto& [name, origins] : names_)
        for (const auto& [origin, one] : origins)
            if (!one.word.past(now)) all.push_back(one.word);
    return all;
}

}  // namespace dewweir::verdicts
