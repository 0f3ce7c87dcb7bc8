#include "spread.h"

#include <algorithm>

namespace dewweir::members {
namespace {

// Keys, types and the largest numbers of either, by the envelope's form.
constexpr std::size_t update_frame = 48, word_frame = 40;

// Less room than this holds nothing.
constexpr std::size_t least_room = word_frame;
constexpr Time sweep_every = 5000;  // half a second: words past their life are met there at the latest

}  // namespace

const char* name_of(State state) {
    static const char* const names[] = {"alive", "suspect", "dead", "left"};
    return names[static_cast<int>(state)];
}

bool later(const Update& a, const Update& b) {
    if (a.instance != b.instance) return a.instance > b.instance;
    if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation;
    return a.state > b.state;
}

std::size_t size_of(const Update& update) { return update_frame + update.name.size() + update.by.size(); }
std::size_t size_of(const Word& word) { return word_frame + word.key.size() + word.bytes.size(); }

template <class What>
template <class Take>
void Spread::Items<What>::take(std::size_t& room, int rounds, const Take& taken) {
    std::vector<typename Order::node_type> went;
    for (auto at = order_.begin(); at != order_.end() && room >= least_room;) {
        const std::size_t size = size_of(at->second);
        const auto is = at++;
        if (size > room) continue;
        if (!taken(is->second)) {  // no longer to be told
            told_.erase(is->first.second);
            order_.erase(is);
            continue;
        }
        room -= size;
        went.push_back(order_.extract(is));
    }
    for (auto& one : went) {
        const int told = ++one.key().first;
        if (told >= rounds) {
            told_.erase(one.key().second);
            continue;
        }
        told_[one.key().second] = told;
        order_.insert(std::move(one));
    }
}

template <class What> template <class Over> void Spread::Items<What>::drop_if(const Over& over) {
    std::erase_if(order_, [&](const auto& each) {
        if (!over(each.second)) return false;
        told_.erase(each.first.second);
        return true;
    });
}

void Spread::fill(Message& message, std::size_t bytes, int rounds, Time now) {
    if (now - swept_ >= sweep_every) {
        words_.drop_if([now](const Word& one) { return one.past(now); });
        swept_ = now;
    }
    std::size_t room = bytes;
    for (const Update& one : message.updates) room -= std::min(room, size_of(one));
    const std::vector<Update> there = message.updates;
    // Half is the updates' for certain: without them nobody knows whom to tell the words.
    std::size_t half = room / 2, words_room = room - half;
    words_.take(words_room, rounds, [&](const Word& one) {
        if (one.past(now)) return false;
        message.words.push_back(one);
        return true;
    });
    half += words_room;
    updates_.take(half, rounds, [&](const Update& one) {
        if (std::none_of(there.begin(), there.end(), [&](const Update& is) { return is.name == one.name; }))
            message.updates.push_back(one);
        return true;
    });
}

}  // namespace dewweir::members
