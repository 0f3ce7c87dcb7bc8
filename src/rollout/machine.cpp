#include "machine.h"

#include <algorithm>

namespace dewweir::rollout {
namespace {

constexpr Time a_second = 10000;

std::string number(std::size_t n) { return std::to_string(n); }

}  // namespace

const char* name_of(Version version) {
    static const char* const names[] = {"none", "old", "new", "other"};
    return names[static_cast<int>(version)];
}
const char* name_of(Phase phase) {
    static const char* const names[] = {"past", "forward", "watch", "back", "done", "taken_back"};
    return names[static_cast<int>(phase)];
}

Machine::Machine(const MachineTerms& terms, std::size_t gateways, Time now, const Position& at)
    : terms_(terms), at_(at), all_(gateways) {
    if (at_.since == 0) at_.since = now;
}

void Machine::enter(Time now, Phase phase) {
    at_.phase = phase;
    at_.since = now;
}

void Machine::back(Time now, const std::string& why) {
    if (over() || at_.phase == Phase::back) return;
    at_.why = why;
    at_.held = false;
    for (One& one : all_) one = {};  // the old version's starts are its own
    enter(now, Phase::back);
}

Version Machine::wanted(std::size_t gateway) const {
    if (at_.phase == Phase::done) return Version::fresh;
    if (at_.phase != Phase::forward && at_.phase != Phase::watch) return Version::old;
    return gateway < terms_.stages[at_.stage] ? Version::fresh : Version::old;
}

std::vector<bool> Machine::fresh() const {
    std::vector<bool> all;
    for (std::size_t n = 0; n < all_.size(); ++n) all.push_back(wanted(n) == Version::fresh);
    return all;
}

bool Machine::settled(const std::vector<Seen>& seen) const {
    for (std::size_t n = 0; n < seen.size(); ++n)
        if (seen[n].runs != wanted(n) || !seen[n].ready) return false;
    return true;
}

// Why a new gateway must not stay, or nothing. Of an old one that ends by itself no rollout is to blame.
std::string Machine::at_fault(Time now, const std::vector<Seen>& seen) {
    for (std::size_t n = 0; n < seen.size(); ++n) {
        if (wanted(n) != Version::fresh) continue;
        const Seen& one = seen[n];
        const std::string who = "gateway " + number(n + 1) + ": the new version ";
        const std::string words = one.last_words.empty() ? "" : ": " + one.last_words;
        if (one.runs == Version::none && one.ended == Version::fresh)
            return who + "has ended by itself" + words;
        if (one.runs == Version::none && one.start_failed) return who + "does not start" + words;
        if (one.runs == Version::none && all_[n].starting_since &&
            now - all_[n].starting_since > terms_.ready_within)
            return who + "did not come up within its time" + words;
        if (one.runs == Version::fresh && all_[n].unready_since && !one.unseen &&
            now - all_[n].unready_since > terms_.ready_within)
            return who + "was not ready within its time" + words;
    }
    return {};
}

// Brings gateways to what is wanted, no more at once than may be down.
std::vector<Act> Machine::replace(Time now, const std::vector<Seen>& seen) {
    std::vector<Act> acts;
    std::size_t ready = 0;
    // One that was told to end counts as down, whatever it says of itself, and whoever told it.
    std::erase_if(at_.leaving, [&](const auto& one) { return seen[one.first].runs == Version::none; });
    // One that cannot be seen may well serve. Forward, nothing further is risked on that; back, it is
    // believed.
    const bool believed = at_.phase == Phase::back;
    for (std::size_t n = 0; n < seen.size(); ++n)
        ready += (seen[n].ready || (believed && seen[n].unseen)) && !at_.leaving.contains(n);
    std::size_t down = seen.size() - ready;
    for (std::size_t n = 0; n < seen.size(); ++n) {
        One& mine = all_[n];
        const Seen& one = seen[n];
        if (const auto asked = at_.leaving.find(n); asked != at_.leaving.end()) {
            if (now - asked->second > terms_.end_within) acts.push_back({Act::What::kill, n});
            continue;
        }
        if (one.runs == wanted(n)) {
            if (one.ready) mine.failed = 0;
            mine.starting_since = 0;
            if (one.unseen)
                waits_ = "gateway " + number(n + 1) + " cannot be seen from here; its log goes on";
            continue;
        }
        if (one.runs == Version::none) {
            // One that fails to start is tried again, ever more seldom: what it needs may come back.
            const Time wait =
                mine.asked_start ? std::min<Time>(30, 1 << std::min(mine.failed, 5)) * a_second : 0;
            if (mine.asked_start && now - mine.asked_start < wait) continue;
            mine.failed += mine.asked_start != 0;
            mine.asked_start = now;
            if (!mine.starting_since) mine.starting_since = now;
            acts.push_back({Act::What::start, n, wanted(n)});
            continue;
        }
        mine.asked_start = mine.starting_since = 0, mine.failed = 0;
        if (one.runs == Version::other) {
            waits_ = "gateway " + number(n + 1) +
                     ": something else runs there; end it, or start as the fleet file has it";
            continue;
        }
        if (at_.held) continue;
        // Taking down one that surely does not serve costs no capacity.
        if (one.ready || one.unseen) {
            if (down + 1 > terms_.down_at_once || ready <= terms_.stay) {
                waits_ = number(down) + " of " + number(seen.size()) + " are down; " +
                         (ready <= terms_.stay ? number(terms_.stay) + " must stay ready"
                                               : "no more may be at once");
                continue;
            }
            if (one.ready || believed) ++down, --ready;
        }
        at_.leaving[n] = now;
        acts.push_back({Act::What::end, n});
    }
    return acts;
}

std::vector<Act> Machine::step(Time now, const std::vector<Seen>& seen, Judgement verdict,
                               const std::string& why, bool past_enough, const std::string& stop) {
    waits_.clear();
    if (over()) return {};
    for (std::size_t n = 0; n < seen.size(); ++n) {
        Time& since = all_[n].unready_since;
        if (seen[n].runs == Version::none || seen[n].ready) since = 0;
        else if (!since) since = now;
    }
    const bool moving = at_.phase == Phase::forward || at_.phase == Phase::watch;
    if (moving) {
        if (!stop.empty()) back(now, stop);
        else if (const std::string fault = at_fault(now, seen); !fault.empty()) back(now, fault);
    }
    switch (at_.phase) {
        case Phase::past:
            if (const auto acts = replace(now, seen); !acts.empty()) return acts;  // an old one has died
            if (!settled(seen)) waits_ = "every gateway to run as the old version, and be ready";
            else if (!past_enough) waits_ = "more of the past, to compare with";
            else if (at_.held) waits_ = "go-on: it is held";
            else enter(now, Phase::forward);
            if (at_.phase == Phase::past && !past_enough && now - at_.since > terms_.longest)
                back(now, "no past to compare with came together in time");
            return {};
        case Phase::forward: {
            if (settled(seen)) return enter(now, Phase::watch), std::vector<Act>{};
            // Held: what is under way ends well, nothing further is begun.
            const auto acts = replace(now, seen);
            if (at_.held) waits_ = "go-on: it is held";
            return acts;
        }
        case Phase::watch: {
            const auto acts = replace(now, seen);
            if (verdict == Judgement::worse) return back(now, why), std::vector<Act>{};
            const bool late = now - at_.since > terms_.longest;
            if (at_.held) waits_ = "go-on: it is held";
            else if (verdict == Judgement::passes && now - at_.since >= terms_.least_time) {
                if (at_.stage + 1 == terms_.stages.size()) enter(now, Phase::done);
                else ++at_.stage, enter(now, Phase::forward);
                return {};
            } else if (late) back(now, "no verdict within the stage's longest time: " + why);
            else if (verdict == Judgement::passes) waits_ = "the stage's least time";
            else waits_ = why;
            return at_.phase == Phase::watch ? acts : std::vector<Act>{};
        }
        case Phase::back: {
            if (settled(seen)) return enter(now, Phase::taken_back), std::vector<Act>{};
            return replace(now, seen);
        }
        default: return {};
    }
}

}  // namespace dewweir::rollout
