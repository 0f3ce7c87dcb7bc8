#include "spread.h"

#include <algorithm>

namespace dewweir::members {
namespace {

// Bytes of an encoded entry without its strings: keys, type bytes and the largest numbers.
constexpr std::size_t update_overhead = 48;
constexpr std::size_t item_overhead = 40;

// No entry fits into less.
constexpr std::size_t min_room = item_overhead;
constexpr Time sweep_every = 5000;  // 0.5 s; bounds how long expired items are kept

}  // namespace

const char* name_of(State state) {
    static const char* const names[] = {"alive", "suspect", "dead", "left"};
    return names[static_cast<int>(state)];
}

bool supersedes(const Update& a, const Update& b) {
    if (a.instance != b.instance) return a.instance > b.instance;
    if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
    return a.state > b.state;
}

std::size_t size_of(const Update& update) { return update_overhead + update.name.size() + update.by.size(); }
std::size_t size_of(const GossipItem& item) { return item_overhead + item.key.size() + item.payload.size(); }

template <class What>
template <class Accept>
void Spread::Queue<What>::take(std::size_t& room, int max_sends, const Accept& accept) {
    std::vector<typename Order::node_type> taken;
    for (auto at = order_.begin(); at != order_.end() && room >= min_room;) {
        const std::size_t size = size_of(at->second);
        const auto is = at++;
        if (size > room) continue;
        if (!accept(is->second)) {  // rejected: remove it
            sends_.erase(is->first.second);
            order_.erase(is);
            continue;
        }
        room -= size;
        taken.push_back(order_.extract(is));
    }
    for (auto& one : taken) {
        const int sends = ++one.key().first;
        if (sends >= max_sends) {
            sends_.erase(one.key().second);
            continue;
        }
        sends_[one.key().second] = sends;
        order_.insert(std::move(one));
    }
}

template <class What>
template <class Predicate>
void Spread::Queue<What>::drop_if(const Predicate& predicate) {
    std::erase_if(order_, [&](const auto& each) {
        if (!predicate(each.second)) return false;
        sends_.erase(each.first.second);
        return true;
    });
}

void Spread::fill(Message& message, std::size_t bytes, int max_sends, Time now) {
    if (now - swept_ >= sweep_every) {
        items_.drop_if([now](const GossipItem& one) { return one.is_expired(now); });
        swept_ = now;
    }
    std::size_t room = bytes;
    for (const Update& one : message.updates) room -= std::min(room, size_of(one));
    const std::vector<Update> present = message.updates;
    // Half of the room is reserved for updates: without them no member knows whom to send items to.
    std::size_t updates_room = room / 2;
    std::size_t items_room = room - updates_room;
    items_.take(items_room, max_sends, [&](const GossipItem& one) {
        if (one.is_expired(now)) return false;
        message.items.push_back(one);
        return true;
    });
    updates_room += items_room;
    updates_.take(updates_room, max_sends, [&](const Update& one) {
        if (std::none_of(present.begin(), present.end(),
                         [&](const Update& is) { return is.name == one.name; }))
            message.updates.push_back(one);
        return true;
    });
}

}  // namespace dewweir::members
