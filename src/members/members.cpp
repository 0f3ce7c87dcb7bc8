#include "members.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <limits>
#include <utility>

#include "members/envelope.h"

namespace dewweir::members {
namespace {

constexpr int direct_timeout_divisor = 5;  // the timeout of a direct answer is this part of a probe period
constexpr double nack_fraction = 0.8;      // of the rest of the period: when a helper sends its nack
constexpr std::size_t min_joined = 3;      // with fewer members present, seeds are asked each period
constexpr int refutation_periods = 3;      // probe periods; most false suspicions are refuted by then
// Consecutive unanswered messages; with 20% loss each way, 1 in 20 members reaches it by chance.
constexpr int max_unanswered = 3;
constexpr Time never = std::numeric_limits<Time>::max();

bool is_present(const Member& one) {
    return one.update.state == State::alive || one.update.state == State::suspect;
}

}  // namespace

Members::Members(const MembersOptions& options, const Update& self, std::vector<Address> seeds,
                 std::uint64_t seed, Time now)
    : options_(options),
      now_(now),
      self_(self),
      seeds_(std::move(seeds)),
      rng_(static_cast<std::uint32_t>(seed ^ (seed >> 32))),
      probe_at_(now),
      gossip_at_(now),
      list_at_(now) {
    self_.state = State::alive;
    std::erase(seeds_, self_.address);
    spread_.put(self_);
    // Members that start together must not probe at the same moments.
    probe_at_ += static_cast<Time>(draw(static_cast<std::size_t>(options_.probe_period)));
    gossip_at_ += static_cast<Time>(draw(static_cast<std::size_t>(options_.gossip_period)));
    request_list();
    list_at_ = now + options_.probe_period;
}

std::size_t Members::draw(std::size_t n) {
    return n <= 1 ? 0 : boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(rng_);
}

int Members::max_sends() const {
    return options_.retransmit_factor *
           static_cast<int>(std::ceil(std::log2(static_cast<double>(present_) + 1)));
}

Time Members::suspicion_timeout(int confirmations) const {
    const double least = options_.suspicion_alpha * std::max(1.0, std::log10(static_cast<double>(present_))) *
                         static_cast<double>(options_.probe_period);
    const double most = options_.suspicion_beta * least;
    // With no other member to confirm it, the minimum applies.
    const int wanted = std::min(options_.max_confirmations, static_cast<int>(present_) - 2);
    if (wanted < 1) return std::llround(least);
    const double shared = std::log(confirmations + 1.0) / std::log(wanted + 1.0);
    return std::llround(std::max(least, most - (most - least) * shared));
}

std::vector<std::string> Members::random_members(std::size_t n,
                                                 const std::function<bool(const Member&)>& which) {
    std::vector<std::string> all, chosen;
    for (const auto& [name, one] : others_)
        if (which(one)) all.push_back(name);
    while (chosen.size() < n && !all.empty()) {
        const std::size_t at = draw(all.size());
        chosen.push_back(std::exchange(all[at], all.back()));
        all.pop_back();
    }
    return chosen;
}

void Members::adjust_health_score(int by) {
    health_score_ = std::clamp(health_score_ + by, 0, options_.max_health_score);
}

void Members::send(Address to, const std::string& target, Message message, const Update* first) {
    if (replaced_ || !to) return;
    if (first) message.updates.push_back(*first);
    // A list request introduces its sender, whose own update may no longer be queued.
    if (message.kind == MessageKind::list_request) message.updates.push_back(self_);
    if (message.kind != MessageKind::list) spread_.fill(message, max_gossip_bytes, max_sends(), now_);
    outgoing_.push_back({to, target, std::move(message)});
}

std::vector<OutgoingMessage> Members::take_outgoing() { return std::exchange(outgoing_, {}); }

Time Members::next() const {
    if (replaced_ || left_) return never;
    Time at = std::min({probe_at_, list_at_, gossip_at_});
    if (probe_.number) at = std::min(at, probe_.indirect ? probe_.ends_at : probe_.indirect_at);
    for (const auto& [number, one] : relayed_) at = std::min(at, one.nack_at);
    for (const auto& [name, one] : others_)
        if (one.update.state == State::suspect) at = std::min(at, one.suspect_until);
    return at;
}

void Members::step(Time now) {
    now_ = now;
    if (replaced_ || left_) return;
    if (probe_.number && !probe_.indirect && now >= probe_.indirect_at) probe_indirectly(now);
    if (probe_.number && now >= probe_.ends_at) finish_probe(now);
    for (auto at = relayed_.begin(); at != relayed_.end();) {
        if (now < at->second.nack_at) {
            ++at;
            continue;
        }
        send(at->second.requester_address, at->second.requester,
             {MessageKind::nack, at->second.requester_number});
        at = relayed_.erase(at);
    }
    expire_suspicions(now);
    if (now >= probe_at_) probe(now);
    if (now >= gossip_at_) {
        gossip();
        gossip_at_ = now + options_.gossip_period;
    }
    if (now >= list_at_) {
        request_list();
        // Each period until enough are known, as a lost first request must not cost half a list period.
        list_at_ =
            now + (present_ < min_joined
                       ? options_.probe_period
                       : options_.list_period / 2 +
                             static_cast<Time>(draw(static_cast<std::size_t>(options_.list_period / 2))));
    }
}

void Members::probe(Time now) {
    // Lifeguard: a member that may itself be slow probes less often.
    probe_at_ = now + options_.probe_period * (1 + health_score_);
    if (probe_.number) return;
    for (std::size_t tries = 0; tries <= probe_order_.size() + 1; ++tries) {
        if (probe_position_ >= probe_order_.size()) {
            probe_order_.clear();
            probe_position_ = 0;
            for (const auto& [name, one] : others_)
                if (is_present(one)) probe_order_.push_back(name);
            for (std::size_t n = probe_order_.size(); n > 1; --n)
                std::swap(probe_order_[n - 1], probe_order_[draw(n)]);
            if (probe_order_.empty()) return;
        }
        const auto found = others_.find(probe_order_[probe_position_++]);
        if (found == others_.end() || !is_present(found->second)) continue;
        Member& one = found->second;
        ++counters_.probes;
        ++one.unanswered;
        probe_ = {++last_number_, found->first,
                  now + options_.probe_period / direct_timeout_divisor * (1 + health_score_),
                  now + options_.probe_period * (1 + health_score_)};
        // Lifeguard's buddy system: the probe tells a suspected member of the suspicion, so it can refute it.
        return send(one.update.address, found->first, {MessageKind::ping, probe_.number},
                    one.update.state == State::suspect ? &one.update : nullptr);
    }
}

void Members::probe_indirectly(Time now) {
    probe_.indirect = true;
    const Member& target = others_.at(probe_.target);
    for (const std::string& name :
         random_members(static_cast<std::size_t>(options_.indirect_probes), [&](const Member& one) {
             return one.update.state == State::alive && one.update.name != probe_.target;
         })) {
        ++probe_.nacks_missing;
        ++others_.at(name).unanswered;
        send(others_.at(name).update.address, name,
             {MessageKind::ping_request, probe_.number, probe_.target, target.update.address});
    }
    probe_.ends_at = std::max(probe_.ends_at, now + 1);
}

std::size_t Members::reachable_count() const {
    const Time before = now_ - refutation_periods * options_.probe_period;
    return 1 + static_cast<std::size_t>(std::count_if(others_.begin(), others_.end(), [&](const auto& each) {
               const Member& one = each.second;
               return is_present(one) && one.unanswered < max_unanswered &&
                      (one.update.state == State::alive || one.since > before);
           }));
}

// The probe timed out. Helpers that did not even send a nack suggest that the fault is on our side.
void Members::finish_probe(Time now) {
    const Probe over = std::exchange(probe_, {});
    ++counters_.failed;
    adjust_health_score(std::max(over.nacks_missing, options_.indirect_probes > 0 && present_ > 2 ? 0 : 1));
    const auto found = others_.find(over.target);
    if (found == others_.end() || found->second.update.state != State::alive) return;
    Update update = found->second.update;
    update.state = State::suspect;
    update.by = self_.name;
    apply_update(now, update);
}

void Members::expire_suspicions(Time now) {
    for (auto& [name, one] : others_) {
        if (one.update.state == State::suspect && now >= one.suspect_until) {
            Update update = one.update;
            update.state = State::dead;
            ++counters_.died;
            set(now, one, update);
        }
    }
    std::erase_if(others_, [&](const auto& each) {
        return !is_present(each.second) && now - each.second.since > options_.dead_retention;
    });
}

void Members::gossip() {
    if (spread_.empty()) return;
    for (const std::string& name : random_members(static_cast<std::size_t>(options_.fan_out),
                                                  [](const Member& one) { return is_present(one); })) {
        if (spread_.empty()) return;
        send(others_.at(name).update.address, name, {MessageKind::gossip});
    }
}

// Asks a present member, and a dead one or a seed as well: the other side of a partition may have healed.
void Members::request_list() {
    const auto there = random_members(1, [](const Member& one) { return is_present(one); });
    if (!there.empty()) send(others_.at(there[0]).update.address, there[0], {MessageKind::list_request});
    const auto gone = random_members(1, [](const Member& one) { return one.update.state == State::dead; });
    if (!gone.empty())
        send(others_.at(gone[0]).update.address, gone[0], {MessageKind::list_request},
             &others_.at(gone[0]).update);
    if (seeds_.empty()) return;
    // Alone, all of them: the one that is asked may not be there yet.
    if (there.empty())
        for (const Address seed : seeds_) send(seed, "", {MessageKind::list_request});
    else send(seeds_[draw(seeds_.size())], "", {MessageKind::list_request});
}

// Updates in the order of names, then items; each request is answered by one datagram.
void Members::send_list(Address to, const std::string& target, std::uint64_t from) {
    Message message{MessageKind::list};
    std::size_t room = max_gossip_bytes;
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
    for (const auto& [name, one] : others_) add(one.update, message.updates);
    if (live_items)
        for (const GossipItem& item : live_items())
            if (!item.is_expired(now_)) add(item, message.items);
    send(to, target, std::move(message));
}

void Members::receive(Time now, const std::string& from, std::uint64_t instance, Address at,
                      const Message& message) {
    now_ = now;
    if (replaced_ || left_ || from == self_.name) return;
    if (const auto known = others_.find(from); known != others_.end()) known->second.unanswered = 0;
    for (const Update& one : message.updates) apply_update(now, one);
    if (on_item)
        for (const GossipItem& one : message.items)
            if (!one.is_expired(now)) on_item(now, from, one);
    switch (message.kind) {
        case MessageKind::ping: {
            // A sender that is suspected, dead or replaced by a later process here is told so: it may refute
            // it.
            const auto known = others_.find(from);
            const bool disputed = known != others_.end() && (known->second.update.state != State::alive ||
                                                             instance < known->second.update.instance);
            return send(at, from, {MessageKind::ack, message.number},
                        disputed ? &known->second.update : nullptr);
        }
        case MessageKind::ping_request: {
            const std::uint64_t number = ++last_number_;
            const Time wait = std::llround(nack_fraction * static_cast<double>(options_.probe_period) *
                                           (direct_timeout_divisor - 1) / direct_timeout_divisor);
            relayed_[number] = {message.number, message.target, from, at, now + wait};
            return send(message.target_address, message.target, {MessageKind::ping, number});
        }
        case MessageKind::ack: {
            if (message.number == probe_.number && probe_.number) {
                // A direct answer in time: this member is responsive as well.
                if (!probe_.indirect) adjust_health_score(-1);
                probe_ = {};
            }
            const auto relayed = relayed_.find(message.number);
            if (relayed == relayed_.end()) return;
            send(relayed->second.requester_address, relayed->second.requester,
                 {MessageKind::ack, relayed->second.requester_number});
            relayed_.erase(relayed);
            return;
        }
        case MessageKind::nack:
            if (message.number == probe_.number && probe_.nacks_missing > 0) --probe_.nacks_missing;
            return;
        case MessageKind::list_request: return send_list(at, from, message.number);
        case MessageKind::list:
            if (message.more) send(at, from, {MessageKind::list_request, message.number});
            return;
        default: return;
    }
}

void Members::apply_update(Time now, const Update& update) {
    if (update.name == self_.name) return apply_own_update(update);
    if (update.name.empty()) return;
    const auto [at, unknown] = others_.try_emplace(update.name, Member{update, now});
    Member& member = at->second;
    if (unknown) {
        // An unknown dead member is recorded, so that no older update revives it, but not reported.
        member.update.state = State::dead;
        if (is_present(Member{update})) {
            // At a random place of this pass, so that not all members probe the new one at once.
            probe_order_.insert(
                probe_order_.begin() +
                    static_cast<std::ptrdiff_t>(
                        probe_position_ +
                        draw(probe_order_.size() - std::min(probe_position_, probe_order_.size()) + 1)),
                update.name);
        }
        return set(now, member, update);
    }
    const bool same =
        update.instance == member.update.instance && update.incarnation == member.update.incarnation;
    if (same && update.state == State::suspect && member.update.state == State::suspect &&
        !update.by.empty()) {
        // A confirmation by another member shortens the timeout, and is passed on.
        if (static_cast<int>(member.suspected_by.size()) > options_.max_confirmations ||
            !member.suspected_by.insert(update.by).second)
            return;
        const int shared = static_cast<int>(member.suspected_by.size()) - 1;
        member.suspect_until = std::min(member.suspect_until, member.since + suspicion_timeout(shared));
        return spread_.put(update);
    }
    if (supersedes(update, member.update)) set(now, member, update);
}

void Members::set(Time now, Member& member, const Update& update) {
    const bool was = is_present(member);
    const bool is = is_present(Member{update});
    if (is && !was) ++present_;
    if (was && !is) --present_;
    const bool changed = member.update.state != update.state || member.update.instance != update.instance;
    member.update = update;
    member.since = now;
    member.suspected_by.clear();
    if (update.state == State::suspect) {
        member.suspected_by.insert(update.by);
        // Lifeguard: the worse our own health, the longer our own suspicions last.
        member.suspect_until = now + suspicion_timeout(0) * (update.by == self_.name ? 1 + health_score_ : 1);
    }
    if (changed) changes_.push_back(update);
    spread_.put(update);
}

void Members::apply_own_update(const Update& update) {
    if (update.instance > self_.instance) {
        const bool there = update.state == State::alive || update.state == State::suspect;
        if (there && update.address != self_.address) {
            // A later process has taken our name. Refuting it would make both refute each other for ever.
            replaced_ = true;
            replaced_by_ = update.address;
            return;
        }
        // An earlier process of our name whose clock was ahead: take an instance above its own.
        self_.instance = update.instance + 1;
        self_.incarnation = 0;
        return spread_.put(self_);
    }
    if (update.instance < self_.instance) return;
    if (update.state == State::alive && update.incarnation <= self_.incarnation) return;
    if (update.incarnation < self_.incarnation) return;
    // Lifeguard: a member that has to refute a claim may itself be slow.
    adjust_health_score(1);
    ++counters_.refuted;
    self_.incarnation = update.incarnation + 1;
    spread_.put(self_);
}

void Members::leave(Time now) {
    now_ = now;
    self_.state = State::left;
    spread_.put(self_);
    // Sent to twice the fan-out: there is no second round.
    for (const std::string& name : random_members(static_cast<std::size_t>(2 * options_.fan_out),
                                                  [](const Member& one) { return is_present(one); }))
        send(others_.at(name).update.address, name, {MessageKind::gossip}, &self_);
    left_ = true;
}

}  // namespace dewweir::members
