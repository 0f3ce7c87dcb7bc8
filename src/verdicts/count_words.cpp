#include "count_words.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "members/fields.h"

namespace dewweir::verdicts {
namespace {

using members::read_field;
using nlohmann::json;

const std::string key_prefix = "count/";
constexpr double sequences_per_unit = 1024;  // of two totals the higher one is the later item
constexpr double max_units = 1LL << 40;      // of one name; higher totals are rejected as invalid

std::string key_of(std::uint64_t name, const std::string& origin) {
    return key_prefix + std::to_string(name) + "/" + origin;
}

struct Reported {
    std::uint64_t name = 0;
    std::string origin;
    double total = 0;
};

bool read(const members::GossipItem& item, Reported& into) {
    const json fields = members::decode_payload(item);
    if (!fields.is_object() || !read_field(fields, "n", into.name) || !read_field(fields, "o", into.origin) ||
        !read_field(fields, "t", into.total))
        return false;
    return into.total > 0 && into.total < max_units && item.key == key_of(into.name, into.origin) &&
           item.sequence == static_cast<std::uint64_t>(into.total * sequences_per_unit);
}

}  // namespace

bool CounterTotals::is_item(const members::GossipItem& item) { return item.key.rfind(key_prefix, 0) == 0; }

// The second highest, because a single origin may be wrong.
double CounterTotals::second_highest(const Origins& origins, Time now, const std::string& but_for) {
    double highest = 0, next = 0;
    for (const auto& [origin, one] : origins) {
        if (origin == but_for || one.item.is_expired(now)) continue;
        next = std::max(next, std::min(highest, one.total));
        highest = std::max(highest, one.total);
    }
    return next;
}

bool CounterTotals::record(Time now, std::uint64_t name, double total) {
    if (total < options_.min_total || total >= max_units) return false;
    Origins& origins = names_[name];
    Total& own = origins[self_];
    // Not published where two other origins already have nearly as much.
    if (total < options_.min_growth * own.total ||
        total < options_.min_growth * second_highest(origins, now, self_))
        return false;
    std::string bytes;
    json::to_cbor({{"n", name}, {"o", self_}, {"t", total}}, bytes);
    own = {total,
           {key_of(name, self_), static_cast<std::uint64_t>(total * sequences_per_unit), now,
            options_.time_to_live, bytes}};
    outgoing_.push_back(own.item);
    return true;
}

bool CounterTotals::receive(Time now, const members::GossipItem& item) {
    Reported reported;
    if (item.is_expired(now) || item.time_to_live > 2 * options_.time_to_live || !read(item, reported) ||
        reported.origin == self_)
        return false;
    Total& held = names_[reported.name][reported.origin];
    if (item.sequence <= held.item.sequence) return false;
    held = {reported.total, item};
    return true;
}

std::vector<members::GossipItem> CounterTotals::take_outgoing() { return std::exchange(outgoing_, {}); }

double CounterTotals::corroborated(Time now, std::uint64_t name) const {
    const auto at = names_.find(name);
    return at == names_.end() ? 0 : second_highest(at->second, now, self_);
}

void CounterTotals::remove_expired(Time now) {
    if (now < swept_ + sweep_period()) return;
    swept_ = now;
    for (auto& [name, origins] : names_)
        std::erase_if(origins, [now](const auto& each) { return each.second.item.is_expired(now); });
    std::erase_if(names_, [](const auto& each) { return each.second.empty(); });
}

Time CounterTotals::next_timer(Time now) const {
    if (names_.empty()) return std::numeric_limits<Time>::max();
    return std::max(swept_ + sweep_period(), now + 1);
}

std::vector<members::GossipItem> CounterTotals::live_items(Time now) const {
    std::vector<members::GossipItem> live;
    for (const auto& [name, origins] : names_)
        for (const auto& [origin, one] : origins)
            if (!one.item.is_expired(now)) live.push_back(one.item);
    return live;
}

}  // namespace dewweir::verdicts
