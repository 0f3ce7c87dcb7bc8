#include "host_words.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace dewweir::verdicts {
namespace {

using nlohmann::json;

const std::string about_host = "host/";
constexpr Time most_age = 36000000;  // of a finding; none is told for so long
constexpr double heard = 0.5;  // weight: whose word that all is well sets aside what others found before

// Ours, as long as it stands.
bool repeats(const HostWord& own) { return own.life > 0 && own.finding == Finding::shut; }
bool holds(const HostWord& word, Time now) { return word.life > 0 && now < word.born + word.life; }
bool fails(const HostWord& word) { return word.finding != Finding::well; }

}  // namespace

const char* name_of(Finding finding) {
    static const char* const names[] = {"shut", "well", "quiet"};
    return names[static_cast<std::size_t>(finding)];
}

members::Word word_of(const HostWord& word) {
    std::string bytes;
    json::to_cbor({{"h", word.host},
                   {"o", word.origin},
                   {"f", static_cast<unsigned>(word.finding)},
                   {"a", std::max<Time>(0, word.born - word.found)}},
                  bytes);
    return {about_host + word.host + "/" + word.origin, word.rank, word.born, word.life, bytes};
}

bool host_word_of(const members::Word& word, HostWord& into) {
    if (word.key.rfind(about_host, 0) != 0) return false;
    const json told = json::from_cbor(word.bytes, true, false);
    if (!told.is_object()) return false;
    const auto text = [&](const char* name) {
        const auto at = told.find(name);
        return at != told.end() && at->is_string() ? at->get<std::string>() : std::string();
    };
    into = {text("h"), text("o"), Finding::shut, word.rank, word.born, word.life};
    const auto finding = told.find("f");
    if (into.host.empty() || into.origin.empty() || finding == told.end() || !finding->is_number_unsigned() ||
        finding->get<unsigned>() > static_cast<unsigned>(Finding::quiet))
        return false;
    into.finding = static_cast<Finding>(finding->get<unsigned>());
    const auto age = told.find("a");
    if (age != told.end() && !age->is_number_unsigned()) return false;
    into.found =
        into.born -
        (age == told.end()
             ? 0
             : std::min<Time>(most_age, static_cast<Time>(age->get<std::uint64_t>() % (1ULL << 62))));
    return true;
}

void HostWords::found(Time now, const std::string& host, Finding finding) {
    About& about = about_[host];
    about.own = {host, self_, finding, ++rank_, now, terms_.life, now};
    about.told_at = now;
    // Polite: where enough have said so, one more is no news.
    if (finding == Finding::well || !said_enough(now, about)) telling_.push_back(about.own);
    // What we found ourselves is the measure of what others found of it in the same moments.
    if (finding == Finding::well) return contradict(now, about, now);
    for (const auto& [origin, word] : about.by_origin)
        if (holds(word, now) && now - word.found < terms_.fresh) learn(now, origin, fails(word));
}

// It was well at that moment: who found it failing a little before was wrong, each word once. What was found
// longer ago may have been so, and is over.
void HostWords::contradict(Time now, About& about, Time well) {
    for (const auto& [origin, word] : about.by_origin) {
        if (!fails(word) || !holds(word, now) || word.found > well) continue;
        about.changed = true;
        // Silence is no lie: its piece may just have been a long one.
        if (word.finding == Finding::shut && well - word.found < terms_.fresh &&
            std::exchange(about.wrong[origin], word.rank) != word.rank)
            learn(now, origin, false);
    }
}

Time HostWords::patience() const {
    return std::max<Time>(1, std::llround(terms_.silence * (usual_ + swing_)));
}

Time HostWords::asked(Time now, const std::string& host) {
    About& about = about_[host];
    if (++about.out == 1) about.waiting = now;
    return usual_ > 0 && about.waiting > 0 ? about.waiting + patience() : std::numeric_limits<Time>::max();
}

void HostWords::ended(Time now, const std::string& host, End end, Time took) {
    About& about = about_[host];
    about.out = std::max(0, about.out - 1);
    // A sign of life: what is still out waits anew, also where its silence has been told.
    if (end == End::well || end == End::alive) about.waiting = now;
    if (about.out == 0) about.waiting = 0;
    if (end == End::well) {
        const auto time = static_cast<double>(took);
        if (usual_ == 0) usual_ = time, swing_ = time / 2;
        swing_ += (std::abs(time - usual_) - swing_) / 64;
        usual_ += (time - usual_) / 64;
    }
    if (end == End::well || end == End::failed) answered(now, host, about, end == End::well);
}

void HostWords::answered(Time now, const std::string& host, About& about, bool well) {
    if (well) {
        about.well_at = now;
        // Our own silence is over; or others hold it failing.
        if (about.own.finding == Finding::quiet && holds(about.own, now)) found(now, host, Finding::well);
        else if (!about.by_origin.empty()) say_well(now, host, about);
    } else if (repeats(about.own)) {
        about.own.found = now;  // tried again, and no better: the others need not
        about.told_at = std::min(about.told_at, now - terms_.life / 2);
    }
}

// Where somebody holds it shut, and nobody has said since that it is well.
void HostWords::say_well(Time now, const std::string& host, About& about) {
    Time shut = 0, well = about.own.finding == Finding::well && holds(about.own, now) ? about.own.found : 0;
    for (const auto& [origin, word] : about.by_origin)
        if (holds(word, now) && word.found <= about.well_at)
            (fails(word) ? shut : well) = std::max(fails(word) ? shut : well, word.found);
    if (shut > well) found(now, host, Finding::well);
    else if (shut > 0) contradict(now, about, about.well_at);
}

bool HostWords::came(Time now, const HostWord& word) {
    if (word.origin == self_ || !holds(word, now) || word.life > 2 * terms_.life) return false;
    About& about = about_[word.host];
    const auto [at, unknown] = about.by_origin.try_emplace(word.origin, word);
    if (!unknown) {
        if (word.rank <= at->second.rank) return false;
        at->second = word;
    }
    about.changed = true;
    if (fails(word) && about.well_at > 0 && now - about.well_at < terms_.fresh && about.well_at > word.found)
        say_well(now, word.host, about);  // an answer of our own that is fresh contradicts it at once
    return true;
}

void HostWords::learn(Time now, const std::string& origin, bool right) {
    const double lost = 1 - weight(now, origin);
    weights_[origin] = {std::min(1 - terms_.least, lost + terms_.learns * ((right ? 0 : 1) - lost)), now};
}

double HostWords::weight(Time now, const std::string& origin) const {
    const auto at = weights_.find(origin);
    if (at == weights_.end()) return 1;
    const double halves = static_cast<double>(now - at->second.at) / static_cast<double>(terms_.forgives);
    return 1 - std::exp2(-std::max(0.0, halves)) * at->second.lost;
}

HostWords::Doubt HostWords::doubt_of(Time now, const std::string& host) const {
    const auto at = about_.find(host);
    return at == about_.end() ? Doubt{} : doubt_of(now, at->second);
}

HostWords::Doubt HostWords::doubt_of(Time now, const About& about) const {
    Doubt all;
    Time well = about.well_at > 0 ? about.well_at : std::numeric_limits<Time>::min();
    for (const auto& [origin, word] : about.by_origin)
        if (holds(word, now) && word.finding == Finding::well && weight(now, origin) >= heard)
            well = std::max(well, word.found);
    for (const auto& [origin, word] : about.by_origin) {
        if (!holds(word, now)) continue;
        ++(fails(word) ? all.shut_by : all.well_by);
        if (fails(word) && word.found <= well) continue;  // it was so, and has been well since
        all.doubt += worth(now, word);
        if (!fails(word)) continue;
        all.found = std::max(all.found, word.found);
        all.until = std::max(all.until, word.born + word.life);
    }
    if (all.doubt > 0 && about.own.finding == Finding::quiet && holds(about.own, now) &&
        about.own.found > well)
        all.doubt += terms_.quiet;
    return all;
}

double HostWords::worth(Time now, const HostWord& word) const {
    if (!fails(word)) return -weight(now, word.origin);
    return weight(now, word.origin) * unrefuted(now, word.origin) *
           (word.finding == Finding::quiet ? terms_.quiet : 1);
}

// The part of what an origin now says fails that nobody found well right after it. By the words alone, so
// that it is the same in whatever order they came.
double HostWords::unrefuted(Time now, const std::string& origin) const {
    int all = 1, refuted = 0;
    for (const auto& [host, about] : about_) {
        const auto said = about.by_origin.find(origin);
        if (said == about.by_origin.end() || !holds(said->second, now) || !fails(said->second)) continue;
        const Time found = said->second.found;
        const auto refutes = [&](const HostWord& by) {
            return by.finding == Finding::well && holds(by, now) && by.found >= found &&
                   by.found - found < terms_.fresh;
        };
        ++all;
        refuted += refutes(about.own) ||
                   std::any_of(about.by_origin.begin(), about.by_origin.end(), [&](const auto& each) {
                       return refutes(each.second) && weight(now, each.first) >= heard;
                   });
    }
    return 1 - static_cast<double>(refuted) / all;
}

// That it fails; and nobody's finding is much older than ours.
bool HostWords::said_enough(Time now, const About& about) const {
    const Doubt others = doubt_of(now, about);
    return others.doubt >= terms_.enough && about.own.found < others.found + terms_.fresh / 2;
}

std::vector<HostWord> HostWords::to_tell(Time now) {
    for (auto& [host, about] : about_) {
        if (usual_ > 0 && about.waiting > 0 && now - about.waiting >= patience()) {
            // Once for each stretch of it; who has said that it fails need not say that it is quiet.
            const Time since = std::exchange(about.waiting, 0);
            if (!repeats(about.own) || !holds(about.own, now)) {
                about.own = {host, self_, Finding::quiet, ++rank_, now, terms_.life, since};
                about.changed = true;
                if (!said_enough(now, about)) telling_.push_back(about.own);
            }
        }
        // One that still holds is told again before it is over: a word lives by being repeated.
        if (!repeats(about.own) || now - about.told_at < terms_.life / 2) continue;
        about.told_at = now;
        // Enough others must still hold it when we look again, else all are silent together, and their words
        // over, before the first speaks.
        if (now - about.own.found >= terms_.evidence || said_enough(now + terms_.life / 2, about)) continue;
        about.own.born = now, about.own.rank = ++rank_;
        telling_.push_back(about.own);
    }
    return std::exchange(telling_, {});
}

std::vector<std::string> HostWords::changed(Time now) {
    std::vector<std::string> all;
    for (auto at = about_.begin(); at != about_.end();) {
        About& about = at->second;
        if (std::erase_if(about.by_origin, [&](const auto& each) { return !holds(each.second, now); }))
            about.changed = true;
        if (std::exchange(about.changed, false)) all.push_back(at->first);
        // Nothing said of it, nothing of ours that stands: the record goes.
        const bool idle = about.out == 0 && about.by_origin.empty() && !holds(about.own, now) &&
                          now - about.well_at >= terms_.fresh &&
                          (!repeats(about.own) || now - about.own.found >= terms_.evidence);
        at = idle ? about_.erase(at) : std::next(at);
    }
    return all;
}

Time HostWords::next(Time now) const {
    Time at = std::numeric_limits<Time>::max();
    for (const auto& [host, about] : about_) {
        for (const auto& [origin, word] : about.by_origin) at = std::min(at, word.born + word.life);
        if (repeats(about.own)) at = std::min(at, about.told_at + terms_.life / 2);
        if (usual_ > 0 && about.waiting > 0) at = std::min(at, about.waiting + patience());
    }
    return std::max(at, now + 1);
}

std::vector<HostWord> HostWords::all(Time now) const {
    std::vector<HostWord> all;
    for (const auto& [host, about] : about_) {
        if (holds(about.own, now)) all.push_back(about.own);
        for (const auto& [origin, word] : about.by_origin)
            if (holds(word, now)) all.push_back(word);
    }
    return all;
}

}  // namespace dewweir::verdicts
