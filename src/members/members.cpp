#include "members.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <limits>
#include <utility>

#include "members/envelope.h"

namespace dewweir::members {
namespace {

constexpr int wait_part = 5;           // of a period, for a direct answer
constexpr double nack_part = 0.8;      // of what is left of it, for one through others
constexpr std::size_t least_join = 3;  // with fewer known, seeds are asked each period
constexpr int refuted_within = 3;      // periods: a suspicion by chance is over by then, most often
constexpr int most_unanswered = 3;  // questions in a row; with a fifth lost each way, one in twenty by chance
constexpr Time never = std::numeric_limits<Time>::max();

bool is_present(const Member& one) { return one.is.state == State::alive || one.is.state == State::suspect; }

}  // namespace

Members::Members(const MembersTerms& terms, const Update& self, std::vector<Address> seeds,
                 std::uint64_t seed, Time now)
    : terms_(terms),
      now_(now),
      self_(self),
      seeds_(std::move(seeds)),
      chance_(static_cast<std::uint32_t>(seed ^ (seed >> 32))),
      probe_at_(now),
      gossip_at_(now),
      ask_at_(now) {
    self_.state = State::alive;
    std::erase(seeds_, self_.address);
    spread_.put(self_);
    // Members started together must not probe together.
    probe_at_ += static_cast<Time>(draw(static_cast<std::size_t>(terms_.period)));
    gossip_at_ += static_cast<Time>(draw(static_cast<std::size_t>(terms_.gossip)));
    ask_for_all();
    ask_at_ = now + terms_.period;
}

std::size_t Members::draw(std::size_t n) {
    return n <= 1 ? 0 : boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(chance_);
}

int Members::rounds() const {
    return terms_.rounds * static_cast<int>(std::ceil(std::log2(static_cast<double>(present_) + 1)));
}

Time Members::suspicion(int confirmations) const {
    const double least = terms_.alpha * std::max(1.0, std::log10(static_cast<double>(present_))) *
                         static_cast<double>(terms_.period);
    const double most = terms_.beta * least;
    // With too few others to share it, the least is all.
    const int wanted = std::min(terms_.confirmers, static_cast<int>(present_) - 2);
    if (wanted < 1) return std::llround(least);
    const double shared = std::log(confirmations + 1.0) / std::log(wanted + 1.0);
    return std::llround(std::max(least, most - (most - least) * shared));
}

std::vector<std::string> Members::some(std::size_t n, const std::function<bool(const Member&)>& which) {
    std::vector<std::string> all, chosen;
    for (const auto& [name, one] : all_)
        if (which(one)) all.push_back(name);
    while (chosen.size() < n && !all.empty()) {
        const std::size_t at = draw(all.size());
        chosen.push_back(std::exchange(all[at], all.back()));
        all.pop_back();
    }
    return chosen;
}

void Members::doubt(int by) { doubt_ = std::clamp(doubt_ + by, 0, terms_.most_doubt); }

void Members::send(Address to, const std::string& whom, Message message, const Update* first) {
    if (replaced_ || !to) return;
    if (first) message.updates.push_back(*first);
    // Who asks says who it is: its own news may long have been told often enough.
    if (message.kind == Kind::ask) message.updates.push_back(self_);
    if (message.kind != Kind::list) spread_.fill(message, room_bytes, rounds(), now_);
    out_.push_back({to, whom, std::move(message)});
}

std::vector<Sending> Members::take() { return std::exchange(out_, {}); }

Time Members::next() const {
    if (replaced_ || left_) return never;
    Time at = std::min({probe_at_, ask_at_, gossip_at_});
    if (probe_.number) at = std::min(at, probe_.others ? probe_.over_at : probe_.ask_others_at);
    for (const auto& [number, one] : relayed_) at = std::min(at, one.nack_at);
    for (const auto& [name, one] : all_)
        if (one.is.state == State::suspect) at = std::min(at, one.suspect_until);
    return at;
}

void Members::step(Time now) {
    now_ = now;
    if (replaced_ || left_) return;
    if (probe_.number && !probe_.others && now >= probe_.ask_others_at) ask_others(now);
    if (probe_.number && now >= probe_.over_at) probe_over(now);
    for (auto at = relayed_.begin(); at != relayed_.end();) {
        if (now < at->second.nack_at) {
            ++at;
            continue;
        }
        send(at->second.back_to, at->second.for_whom, {Kind::nack, at->second.theirs});
        at = relayed_.erase(at);
    }
    suspicions(now);
    if (now >= probe_at_) probe(now);
    if (now >= gossip_at_) {
        gossip();
        gossip_at_ = now + terms_.gossip;
    }
    if (now >= ask_at_) {
        ask_for_all();
        // Until some are known, each period; a lost first question must not cost half a minute.
        ask_at_ = now + (present_ < least_join
                             ? terms_.period
                             : terms_.ask_all / 2 +
                                   static_cast<Time>(draw(static_cast<std::size_t>(terms_.ask_all / 2))));
    }
}

void Members::probe(Time now) {
    // Lifeguard: who may itself be the slow one probes the less often.
    probe_at_ = now + terms_.period * (1 + doubt_);
    if (probe_.number) return;
    for (std::size_t tries = 0; tries <= order_.size() + 1; ++tries) {
        if (at_ >= order_.size()) {
            order_.clear(), at_ = 0;
            for (const auto& [name, one] : all_)
                if (is_present(one)) order_.push_back(name);
            for (std::size_t n = order_.size(); n > 1; --n) std::swap(order_[n - 1], order_[draw(n)]);
            if (order_.empty()) return;
        }
        const auto found = all_.find(order_[at_++]);
        if (found == all_.end() || !is_present(found->second)) continue;
        Member& one = found->second;
        ++tally_.probes, ++one.unanswered;
        probe_ = {++numbers_, found->first, now + terms_.period / wait_part * (1 + doubt_),
                  now + terms_.period * (1 + doubt_)};
        // Lifeguard's buddy: one that is suspected hears of it with the probe, and can refute it.
        return send(one.is.address, found->first, {Kind::ping, probe_.number},
                    one.is.state == State::suspect ? &one.is : nullptr);
    }
}

void Members::ask_others(Time now) {
    probe_.others = true;
    const Member& target = all_.at(probe_.whom);
    for (const std::string& name : some(static_cast<std::size_t>(terms_.helpers), [&](const Member& one) {
             return one.is.state == State::alive && one.is.name != probe_.whom;
         })) {
        ++probe_.nacks_missing, ++all_.at(name).unanswered;
        send(all_.at(name).is.address, name, {Kind::request, probe_.number, probe_.whom, target.is.address});
    }
    probe_.over_at = std::max(probe_.over_at, now + 1);
}

std::size_t Members::reached() const {
    const Time before = now_ - refuted_within * terms_.period;
    return 1 + static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [&](const auto& each) {
               const Member& one = each.second;
               return is_present(one) && one.unanswered < most_unanswered &&
                      (one.is.state == State::alive || one.since > before);
           }));
}

// Nobody could reach it in time. Others that answered not even that show that it may be us.
void Members::probe_over(Time now) {
    const Probe over = std::exchange(probe_, {});
    ++tally_.failed;
    doubt(std::max(over.nacks_missing, terms_.helpers > 0 && present_ > 2 ? 0 : 1));
    const auto found = all_.find(over.whom);
    if (found == all_.end() || found->second.is.state != State::alive) return;
    Update update = found->second.is;
    update.state = State::suspect;
    update.by = self_.name;
    heard(now, update);
}

void Members::suspicions(Time now) {
    for (auto& [name, one] : all_) {
        if (one.is.state == State::suspect && now >= one.suspect_until) {
            Update update = one.is;
            update.state = State::dead;
            ++tally_.died;
            set(now, one, update);
        }
    }
    std::erase_if(all_, [&](const auto& each) {
        return !is_present(each.second) && now - each.second.since > terms_.remember_dead;
    });
}

void Members::gossip() {
    if (spread_.empty()) return;
    for (const std::string& name :
         some(static_cast<std::size_t>(terms_.fan_out), [](const Member& one) { return is_present(one); })) {
        if (spread_.empty()) return;
        send(all_.at(name).is.address, name, {Kind::gossip});
    }
}

// One that is there; now and then one that is thought dead, or a seed: the other side of a cut that has
// healed.
void Members::ask_for_all() {
    const auto there = some(1, [](const Member& one) { return is_present(one); });
    if (!there.empty()) send(all_.at(there[0]).is.address, there[0], {Kind::ask});
    const auto gone = some(1, [](const Member& one) { return one.is.state == State::dead; });
    if (!gone.empty()) send(all_.at(gone[0]).is.address, gone[0], {Kind::ask}, &all_.at(gone[0]).is);
    if (seeds_.empty()) return;
    // Alone, all of them: the one that is asked may not be there yet.
    if (there.empty())
        for (const Address seed : seeds_) send(seed, "", {Kind::ask});
    else send(seeds_[draw(seeds_.size())], "", {Kind::ask});
}

// In the order of names, words first; a datagram each, and no more than one for each question.
void Members::tell_all(Address to, const std::string& whom, std::uint64_t from) {
    Message message{Kind::list};
    std::size_t room = room_bytes;
    std::uint64_t at = 0;
    const auto add = [&](const auto& what, auto& list) {
        if (at++ < from || message.more) return;
        if (size_of(what) > room) {
            message.more = true;
            message.number = at - 1;
            return;
        }
        room -= size_of(what);
        list.push_back(what);
    };
    add(self_, message.updates);
    for (const auto& [name, one] : all_) add(one.is, message.updates);
    if (all_words)
        for (const Word& word : all_words())
            if (!word.past(now_)) add(word, message.words);
    send(to, whom, std::move(message));
}

void Members::came(Time now, const std::string& from, std::uint64_t instance, Address at,
                   const Message& message) {
    now_ = now;
    if (replaced_ || left_ || from == self_.name) return;
    if (const auto known = all_.find(from); known != all_.end()) known->second.unanswered = 0;
    for (const Update& one : message.updates) heard(now, one);
    if (on_word)
        for (const Word& one : message.words)
            if (!one.past(now)) on_word(now, from, one);
    switch (message.kind) {
        case Kind::ping: {
            // One that is thought ill of, and asks: it hears of it, and can refute it. So does one whose name
            // a later process has.
            const auto known = all_.find(from);
            const bool ill = known != all_.end() &&
                             (known->second.is.state != State::alive || instance < known->second.is.instance);
            return send(at, from, {Kind::ack, message.number}, ill ? &known->second.is : nullptr);
        }
        case Kind::request: {
            const std::uint64_t number = ++numbers_;
            const Time wait =
                std::llround(nack_part * static_cast<double>(terms_.period) * (wait_part - 1) / wait_part);
            relayed_[number] = {message.number, message.whom, from, at, now + wait};
            return send(message.whom_at, message.whom, {Kind::ping, number});
        }
        case Kind::ack: {
            if (message.number == probe_.number && probe_.number) {
                // On time, and so are we.
                if (!probe_.others) doubt(-1);
                probe_ = {};
            }
            const auto relayed = relayed_.find(message.number);
            if (relayed == relayed_.end()) return;
            send(relayed->second.back_to, relayed->second.for_whom, {Kind::ack, relayed->second.theirs});
            relayed_.erase(relayed);
            return;
        }
        case Kind::nack:
            if (message.number == probe_.number && probe_.nacks_missing > 0) --probe_.nacks_missing;
            return;
        case Kind::ask: return tell_all(at, from, message.number);
        case Kind::list:
            if (message.more) send(at, from, {Kind::ask, message.number});
            return;
        default: return;
    }
}

void Members::heard(Time now, const Update& update) {
    if (update.name == self_.name) return heard_of_us(update);
    if (update.name.empty()) return;
    const auto [at, unknown] = all_.try_emplace(update.name, Member{update, now});
    Member& member = at->second;
    if (unknown) {
        // The dead that are new to us are nobody's news, but must not come back by an older word.
        member.is.state = State::dead;
        if (is_present(Member{update})) {
            // Met in a random place of this round, so that nobody is probed by all at once.
            order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(
                                               at_ + draw(order_.size() - std::min(at_, order_.size()) + 1)),
                          update.name);
        }
        return set(now, member, update);
    }
    const bool same = update.instance == member.is.instance && update.incarnation == member.is.incarnation;
    if (same && update.state == State::suspect && member.is.state == State::suspect && !update.by.empty()) {
        // A suspicion that another shares runs out sooner; that it is shared is news.
        if (static_cast<int>(member.suspected_by.size()) > terms_.confirmers ||
            !member.suspected_by.insert(update.by).second)
            return;
        const int shared = static_cast<int>(member.suspected_by.size()) - 1;
        member.suspect_until = std::min(member.suspect_until, member.since + suspicion(shared));
        return spread_.put(update);
    }
    if (later(update, member.is)) set(now, member, update);
}

void Members::set(Time now, Member& member, const Update& update) {
    const bool was = is_present(member), is = is_present(Member{update});
    if (is && !was) ++present_;
    if (was && !is) --present_;
    const bool told = member.is.state != update.state || member.is.instance != update.instance;
    member.is = update;
    member.since = now;
    member.suspected_by.clear();
    if (update.state == State::suspect) {
        member.suspected_by.insert(update.by);
        // Our own suspicion lasts longer the more we doubt ourselves.
        member.suspect_until = now + suspicion(0) * (update.by == self_.name ? 1 + doubt_ : 1);
    }
    if (told) changes_.push_back(update);
    spread_.put(update);
}

void Members::heard_of_us(const Update& update) {
    if (update.instance > self_.instance) {
        const bool there = update.state == State::alive || update.state == State::suspect;
        if (there && update.address != self_.address) {
            // A later process has our name. Two that refute each other would never end.
            replaced_ = true;
            replaced_by_ = update.address;
            return;
        }
        // The one before us, by a clock that was ahead: we come after it.
        self_.instance = update.instance + 1, self_.incarnation = 0;
        return spread_.put(self_);
    }
    if (update.instance < self_.instance) return;
    if (update.state == State::alive && update.incarnation <= self_.incarnation) return;
    if (update.incarnation < self_.incarnation) return;
    // Lifeguard: who has to refute may be slow itself.
    doubt(1);
    ++tally_.refuted;
    self_.incarnation = update.incarnation + 1;
    spread_.put(self_);
}

void Members::leave(Time now) {
    now_ = now;
    self_.state = State::left;
    spread_.put(self_);
    // Told to more than gossip would: there is no second round.
    for (const std::string& name : some(static_cast<std::size_t>(2 * terms_.fan_out),
                                        [](const Member& one) { return is_present(one); }))
        send(all_.at(name).is.address, name, {Kind::gossip}, &self_);
    left_ = true;
}

}  // namespace dewweir::members
